#!/bin/sh
# Plays this case. 1: the rule was broken, 0: it held, 2: the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x bin/review2 ] || [ ! -x bin/spantack ]; then
  echo "can't run: build the programs and run review/build-2.sh first"
  exit 2
fi
exec bin/review2 same review/9
