#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays the same without the disruption.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
[ -x target/release/bergamotswitch ] && [ -x target/review/release/unread_config ] || exit 2
exec target/review/release/unread_config "$here/record.txt"
