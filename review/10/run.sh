#!/usr/bin/env bash
# Runs the case: exits with 1 if the rule was broken, 0 if it held, and 2 if it
# could not run. TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -f target/cranberry_entry.js ] && [ -f target/review-2/case_10.mjs ] || exit 2
exec node target/review-2/case_10.mjs
