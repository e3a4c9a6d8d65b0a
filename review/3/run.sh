#!/bin/sh
# Plays the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/rig ] && [ -x bin/spantack ] || exit 2
REVIEW_ROOT=. exec review/bin/rig "$(basename "$(dirname "$0")")"
