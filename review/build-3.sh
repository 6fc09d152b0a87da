#!/usr/bin/env bash
# Builds the programs of the scripts of the third review below target/review-3,
# with the stand-ins that they start. Runs after the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")/.."
node --input-type=module -e '
import { build } from "esbuild";
import { existsSync } from "node:fs";
const entryPoints = [11, 12, 13, 14, 15]
  .map((n) => `review/${n}/case.ts`).filter((path) => existsSync(path));
await build({
  entryPoints,
  outdir: "target/review-3",
  outbase: "review",
  outExtension: { ".js": ".mjs" },
  bundle: true,
  format: "esm",
  platform: "node",
  target: "node20",
});
'
