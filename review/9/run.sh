#!/usr/bin/env bash
# Runs the case; exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 it does
# the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/azureshift-entry ] && [ -x target/review-9 ] || exit 2
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
timeout --kill-after=8 108 target/review-9 -trouble="$trouble"
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
