/**
 * Decides which windows are to be fixed, and which are overdue.
 *
 * @module
 */
import type { UsageBounds } from "./types.ts";

/**
 * Longest time that hosts' counts get to arrive, and its share of `lateMs`. Most
 * requests have responses by then, which tell when they began to run.
 */
const MAX_SETTLING_MS = 3_000;
const SETTLING_SHARE = 0.3;
/**
 * Share of `lateMs` after which counts are fixed without a quorum of hosts. A
 * host with a quorum has taken the duty over by then, if there is one.
 */
const INCOMPLETE_SHARE = 0.6;
/** Unconfirmed windows that are kept while the platform does not answer. */
export const MAX_UNCONFIRMED = 64;

/** Windows after the last one that is fixed, oldest first. */
export interface DueWindows {
  /** Overdue windows, whose counts hosts no longer report. */
  readonly missed: readonly number[];
  /** Windows whose counts had time to arrive. */
  readonly due: readonly number[];
}

/**
 * Finds the windows that are due.
 *
 * @param nextWindow The first window that is neither fixed nor missed.
 */
export function findDueWindows(
  { clockMs, nextWindow, hasQuorum }: {
    clockMs: number;
    nextWindow: number;
    hasQuorum: boolean;
  },
  { windowMs, lateMs }: UsageBounds,
): DueWindows {
  const waitMs = hasQuorum
    ? Math.min(MAX_SETTLING_MS, SETTLING_SHARE * lateMs)
    : INCOMPLETE_SHARE * lateMs;
  const lastWindow = Math.floor((clockMs - waitMs) / windowMs) - 1;
  const firstWindow = Math.max(
    nextWindow,
    Math.ceil((clockMs - lateMs) / windowMs) - 1,
  );
  // The list is bounded, as the clock may have been wrong by years.
  const firstMissed = Math.max(nextWindow, firstWindow - MAX_UNCONFIRMED);
  return {
    missed: listNumbers(firstMissed, Math.min(firstWindow - 1, lastWindow)),
    due: listNumbers(firstWindow, lastWindow),
  };
}

function listNumbers(first: number, last: number): number[] {
  const length = Math.max(0, last - first + 1);
  return Array.from({ length }, (_, i) => first + i);
}
