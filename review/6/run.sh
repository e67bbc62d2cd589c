#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/hitchdoor ] && [ -x target/programs ] || exit 2
timeout 118 target/programs types review/6/record.txt
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
