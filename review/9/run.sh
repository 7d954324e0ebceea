#!/usr/bin/env bash
# Runs the case; exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/azureshift-entry ] && [ -x target/review-9 ] || exit 2
timeout --kill-after=8 108 target/review-9
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
