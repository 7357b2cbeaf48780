#!/usr/bin/env bash
# Exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
timeout -k 3 115 target/review/standin-2 split-core review/8/record.txt
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
