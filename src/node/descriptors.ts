/**
 * Limit on the descriptors of this process.
 *
 * @module
 */
import { readFileSync } from "node:fs";

/**
 * Descriptors that a host uses at most, whatever it may: 3,800 connections with
 * requests took 50 MB, and small hosts have no room for more.
 */
const MAX_DESCRIPTORS = 3_800;

/**
 * Returns the number of descriptors that a host uses at most.
 *
 * @param statedMax Limit that the settings state. The system's limit may not
 * hold for connections, so it counts only without a stated one.
 */
export function findMaxDescriptors(statedMax: number | undefined): number {
  return Math.min(MAX_DESCRIPTORS, statedMax ?? readSystemLimit());
}

function readSystemLimit(): number {
  try {
    const limits = readFileSync("/proc/self/limits", "utf8");
    const match = /^Max open files +(\d+)/m.exec(limits);
    return Number(match?.[1] ?? MAX_DESCRIPTORS);
  } catch {
    // Systems without this file.
    return MAX_DESCRIPTORS;
  }
}
