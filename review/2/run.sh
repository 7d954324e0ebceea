#!/usr/bin/env bash
# Plays the case "silent-leave": exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
if [ ! -x target/azureshift-entry ] || [ ! -x review/bin/scenario ]; then
  echo "run the build of deploy/system.toml and review/build.sh first" >&2
  exit 2
fi
# TROUBLE=0 leaves the disruption out.
export TROUBLE="${TROUBLE:-1}"
exec review/bin/scenario -case silent-leave -record "$here/record.txt"
