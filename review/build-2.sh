#!/usr/bin/env bash
# Builds the scripts of the second review, with all stand-ins that they start,
# into target/review-2. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
for source in review/[6-9]/case.ts review/10/case.ts; do
  [ -f "$source" ] || continue
  number=${source#review/}
  node_modules/.bin/esbuild "$source" --bundle --platform=node \
    --target=node20 --format=esm --log-level=warning \
    --outfile="target/review-2/case_${number%/case.ts}.mjs" \
    --banner:js="import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);"
done
