// Bundles the entry host for the platform into one folder, so that it loads a
// few files at startup instead of hundreds. Modules that are imported
// dynamically become separate files.
//
// Usage: node scripts/bundle.mjs [FOLDER], by default `target`.
import { rmSync } from "node:fs";
import { build } from "esbuild";

const folder = process.argv[2] ?? "target";
rmSync(folder, { recursive: true, force: true });
await build({
  entryPoints: { cranberry_entry: "platform/main.ts" },
  outdir: folder,
  bundle: true,
  minify: true,
  splitting: true,
  format: "esm",
  platform: "node",
  target: "node20",
  legalComments: "none",
  // CommonJS packages load Node.js modules with `require`.
  banner: {
    js: "import { createRequire } from 'node:module';" +
      "const require = createRequire(import.meta.url);",
  },
});
