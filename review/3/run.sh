#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not
# run. TROUBLE=0 leaves the disruption out. KEEP_LOGS=1 keeps the gateways' logs.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
program=target/review/case-3
if [ ! -x "$program" ] || [ ! -x target/packages/daemon/wagtailshored ]; then
  echo "build with the line of deploy/system.toml and review/build.sh first" >&2
  exit 2
fi
exec "$program" "$folder/record.txt"
