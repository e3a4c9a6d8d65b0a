#!/bin/sh
# Builds the stand-ins of the cases. They need the Go standard library only.
set -eu
cd "$(dirname "$0")"
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go test -c -o bin/rig ./rig
