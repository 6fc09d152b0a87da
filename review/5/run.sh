#!/usr/bin/env bash
# Plays case 5; TROUBLE=0 leaves the disruption out. Build before: the build of
# the deploy file, then review/build.sh.
set -u
cd "$(dirname "$0")/../.."
[ -f target/cranberry_entry.js ] && [ -f target/review/case_5.mjs ] || exit 2
exec node target/review/case_5.mjs
