#!/usr/bin/env bash
# Ends with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/review-3/14/case.mjs ] || exit 2
exec node target/review-3/14/case.mjs review/14
