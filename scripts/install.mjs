// Installs the packages of the lockfile if those that the bundle needs are not
// installed. Uses Node.js modules only, as there may be no packages yet.
import { spawnSync } from "node:child_process";
import { copyFileSync, existsSync, readFileSync, renameSync } from "node:fs";
import { join } from "node:path";

const MANIFESTS = ["package.json", "package-lock.json"];
/** Development package that the bundle is made with. */
const BUNDLER = "node_modules/esbuild";

/**
 * Installs into `workFolder` and puts the complete packages in place, so that a
 * failed install leaves the present ones as they are.
 *
 * @throws {Error} When the install failed.
 */
export function ensureInstalled(root, workFolder) {
  if (isInstalled(root)) return;
  for (const name of MANIFESTS) {
    copyFileSync(join(root, name), join(workFolder, name));
  }
  // Development packages are left out by default if NODE_ENV is production.
  const { status, error } = spawnSync(
    "npm",
    ["ci", "--include=dev", "--ignore-scripts", "--no-audit", "--no-fund"],
    { cwd: workFolder, stdio: ["ignore", "ignore", "inherit"] },
  );
  if (error !== undefined) throw error;
  if (status !== 0) throw new Error(`npm ci failed with status ${status}`);
  if (!isInstalled(workFolder)) {
    throw new Error("npm ci installed no bundler for this kind of machine");
  }
  putInPlace(root, workFolder);
}

/**
 * Whether the packages that the bundle needs are installed in the versions of
 * the lockfile, with the native binaries for this kind of machine.
 */
function isInstalled(root) {
  const wanted = readPackages(join(root, "package-lock.json"));
  const installed = readInstalledPackages(root);
  const bundlerBinaries = Object.keys(
    wanted[BUNDLER]?.optionalDependencies ?? {},
  ).map((name) => `node_modules/${name}`);
  return Object.entries(wanted)
    .filter(([path, { dev }]) =>
      path !== "" &&
      (!dev || path === BUNDLER || bundlerBinaries.includes(path))
    )
    .filter(([, entry]) => runsHere(entry))
    .every(([path, { version, integrity }]) =>
      installed[path]?.version === version &&
      installed[path].integrity === integrity &&
      existsSync(join(root, path, "package.json"))
    );
}

/** Whether a package is for this operating system and processor. */
function runsHere({ os = [process.platform], cpu = [process.arch] }) {
  return os.includes(process.platform) && cpu.includes(process.arch);
}

function readPackages(lockfile) {
  return JSON.parse(readFileSync(lockfile, "utf8")).packages;
}

/**
 * Reads npm's record of an install, which it writes at the end. The packages
 * count as missing if the record is missing or cut off.
 */
function readInstalledPackages(root) {
  try {
    return readPackages(join(root, "node_modules", ".package-lock.json"));
  } catch (error) {
    if (error.code !== "ENOENT" && !(error instanceof SyntaxError)) throw error;
    return {};
  }
}

/** Replaces the packages of `root`, unless another build has just done so. */
function putInPlace(root, workFolder) {
  if (isInstalled(root)) return;
  const packages = join(root, "node_modules");
  try {
    renameSync(packages, join(workFolder, "replaced"));
  } catch (error) {
    if (error.code !== "ENOENT") throw error;
  }
  try {
    renameSync(join(workFolder, "node_modules"), packages);
  } catch (error) {
    if (!isInstalled(root)) throw error;
  }
}
