#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without
# the restart.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/standin ] || { echo "run review/build.sh first"; exit 2; }
target/review/standin occurrences review/1/record.txt
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
