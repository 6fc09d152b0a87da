// A folder for files that are not complete yet. It is on the file system of its
// parent, so that a rename can put its files in place.
import { mkdirSync, mkdtempSync, readdirSync, rmSync, statSync } from "node:fs";
import { join } from "node:path";

const PREFIX = ".work-";
/** A build may take 15 minutes; older folders are of builds that were killed. */
const MAX_AGE_MS = 3_600_000;

/**
 * Calls `use` with a new folder in `parent`, and removes the folder afterwards.
 * Each caller has its own, so several may run at the same time.
 */
export async function useWorkFolder(parent, use) {
  mkdirSync(parent, { recursive: true });
  removeAbandonedFolders(parent, Date.now());
  const folder = mkdtempSync(join(parent, PREFIX));
  try {
    return await use(folder);
  } finally {
    rmSync(folder, { recursive: true, force: true });
  }
}

function removeAbandonedFolders(parent, nowMs) {
  for (const name of readdirSync(parent)) {
    const path = join(parent, name);
    const stats = statSync(path, { throwIfNoEntry: false });
    if (
      name.startsWith(PREFIX) && stats !== undefined &&
      nowMs - stats.mtimeMs > MAX_AGE_MS
    ) {
      rmSync(path, { recursive: true, force: true });
    }
  }
}
