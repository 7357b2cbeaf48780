#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/standin ] && [ -x target/release/comfreyhold-platform ] || exit 2
exec timeout -k 2 115 target/review-3/standin restart review/13
