// Compiles the project to `dist/` without removing what it still needs: a file
// that has changed is replaced by a rename, one that has not changed is left as
// it is, and files without a source are removed. Tests, soaks and hosts that run
// from the folder keep their files while unchanged sources are compiled, and
// a compilation with errors changes nothing.
//
// Usage: node scripts/compile.mjs
import { spawnSync } from "node:child_process";
import {
  existsSync,
  mkdirSync,
  readdirSync,
  readFileSync,
  renameSync,
  rmSync,
  statSync,
} from "node:fs";
import { dirname, join } from "node:path";
import { useWorkFolder } from "./work_folder.mjs";

const FOLDER = "dist";
const COMPILED = /\.js(\.map)?$/;
/** Subfolder with builds of earlier commits, which fleets may be running. */
const KEPT = "builds";

/** Lists the compiled files of a folder by their paths within it. */
function listFiles(folder) {
  if (!existsSync(folder)) return [];
  return readdirSync(folder)
    .filter((name) =>
      name !== KEPT && statSync(join(folder, name)).isDirectory()
    )
    .flatMap((name) =>
      readdirSync(join(folder, name), { recursive: true })
        .map((path) => join(name, path))
    )
    .filter((path) => COMPILED.test(path));
}

function isSameFile(first, second) {
  return existsSync(second) && readFileSync(first).equals(readFileSync(second));
}

// The work folder is as deep as `dist`, as source maps hold relative paths.
process.exitCode = await useWorkFolder(".", (workFolder) => {
  const { status, error } = spawnSync(
    join("node_modules", ".bin", "tsc"),
    ["-p", "tsconfig.json", "--outDir", workFolder],
    { stdio: "inherit" },
  );
  if (error !== undefined) throw error;
  if (status !== 0) return status ?? 1;
  const compiled = listFiles(workFolder);
  for (const name of compiled) {
    const source = join(workFolder, name);
    const destination = join(FOLDER, name);
    if (isSameFile(source, destination)) continue;
    mkdirSync(dirname(destination), { recursive: true });
    renameSync(source, destination);
  }
  const wanted = new Set(compiled);
  for (const name of listFiles(FOLDER)) {
    if (!wanted.has(name)) rmSync(join(FOLDER, name), { force: true });
  }
  return 0;
});
