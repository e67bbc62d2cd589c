#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out. Build target/hitchdoor (deploy/service.toml) and review/build.sh first.
cd "$(dirname "$0")/../.." || exit 2
for program in target/hitchdoor target/standin; do
  if [ ! -x "$program" ]; then
    echo "$program is not built" >&2
    exit 2
  fi
done
exec target/standin crash review/2/record.txt
