#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: one program without dependencies, bin/review2.
set -eu
cd "$(dirname "$0")/harness-2"
mkdir -p ../../bin
GOWORK=off GOPROXY=off go test -c -o ../../bin/review2 .
