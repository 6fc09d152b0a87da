#!/usr/bin/env bash
# Builds the stand-ins and scripts of all cases into target/review. Run it after
# the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
entries=()
for source in review/[1-5]/case.ts; do
  number=${source#review/}
  entries+=("case_${number%/case.ts}=$source")
done
node_modules/.bin/esbuild "${entries[@]}" --bundle --platform=node \
  --target=node20 --format=esm --outdir=target/review --out-extension:.js=.mjs \
  --log-level=warning \
  --banner:js="import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);"
