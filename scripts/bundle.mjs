// Bundles the entry host on the platform into one folder, so that a start
// reads a few files instead of some hundred. Parts that are loaded on demand
// become files of their own.
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
  // Packages in CommonJS ask for Node.js modules by `require`.
  banner: {
    js: "import { createRequire } from 'node:module';" +
      "const require = createRequire(import.meta.url);",
  },
});
