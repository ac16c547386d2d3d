#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. review/build-2.sh builds the program.
cd "$(dirname "$0")/../.." || exit 2
target/review-2/cases cold-store-copy review/10
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
