/**
 * Limit on the descriptors of this process.
 *
 * @module
 */
import { readFileSync } from "node:fs";

/**
 * Descriptors that a host uses at most, whatever the system allows: 3,800
 * connections with requests took 50 MB, and small hosts have no room for more.
 */
const MAX_DESCRIPTORS = 3_800;

/** Returns the number of descriptors that the process may have open. */
export function readMaxDescriptors(path = "/proc/self/limits"): number {
  try {
    const match = /^Max open files +(\d+)/m.exec(readFileSync(path, "utf8"));
    return Math.min(MAX_DESCRIPTORS, Number(match?.[1] ?? MAX_DESCRIPTORS));
  } catch {
    // Systems without this file.
    return MAX_DESCRIPTORS;
  }
}
