// Bundles the entry host for the platform into one file, so that it loads fast
// and reads nothing from the folder after it was started. Modules that are
// imported dynamically are in the file too and run when they are first needed.
//
// The file replaces the previous one by a rename after it was shown to start:
// a host that starts meanwhile reads the one or the other, and a failed build
// changes nothing. Other files of the folder may belong to running hosts of
// earlier builds and stay.
//
// The packages that it needs are installed first if they are not there.
//
// Usage: node scripts/bundle.mjs [FOLDER], by default `target`.
import { execFileSync, spawnSync } from "node:child_process";
import { readFileSync, renameSync } from "node:fs";
import { join } from "node:path";
import { ensureInstalled } from "./install.mjs";
import { useWorkFolder } from "./work_folder.mjs";

const PROGRAM = "cranberry_entry.js";
const START_TIMEOUT_MS = 60_000;

/** Returns the version of the build, with the commit where the history is. */
function readBuildVersion() {
  const { version } = JSON.parse(readFileSync("package.json", "utf8"));
  // Names the folder, as a copy of the sources may lie in another repository.
  const { status, stdout } = spawnSync(
    "git",
    ["--git-dir=.git", "rev-parse", "--short", "HEAD"],
    { encoding: "utf8" },
  );
  return status === 0 ? `${version}+${stdout.trim()}` : version;
}

const folder = process.argv[2] ?? "target";
await useWorkFolder(folder, async (workFolder) => {
  ensureInstalled(process.cwd(), workFolder);
  // The bundler can be loaded only when it is installed.
  const { build } = await import("esbuild");
  const program = join(workFolder, PROGRAM);
  await build({
    entryPoints: ["platform/main.ts"],
    outfile: program,
    bundle: true,
    minify: true,
    format: "esm",
    platform: "node",
    target: "node20",
    legalComments: "none",
    define: { DEPLOYED_BUILD: JSON.stringify(readBuildVersion()) },
    // CommonJS packages load Node.js modules with `require`.
    banner: {
      js: "import { createRequire } from 'node:module';" +
        "const require = createRequire(import.meta.url);",
    },
  });
  execFileSync(process.execPath, [program, "--help"], {
    stdio: ["ignore", "ignore", "inherit"],
    timeout: START_TIMEOUT_MS,
  });
  renameSync(program, join(folder, PROGRAM));
});
