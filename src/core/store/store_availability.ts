/**
 * The store's state as this host and the hosts that watch it see it.
 *
 * @module
 */
import type { StoreHealth } from "./store_health.ts";

/** What a host tells of the store. */
export interface StoreReport {
  /** Whether the host watches the store. */
  readonly watches: boolean;
  readonly isFailing: boolean;
  /** Age of the store's last answer, in milliseconds. */
  readonly ageMs: number;
  /** Time since it answered again after failures; Infinity if never. */
  readonly sinceReturnMs: number;
}

/** The combined state. */
export interface StoreAvailability {
  readonly isFailing: boolean;
  readonly ageMs: number;
  /** When it last answered again after failures; -Infinity if never. */
  readonly recoveredMs: number;
}

/** This host's part of the state, for the other hosts. */
export function createStoreReport(
  health: StoreHealth,
  watches: boolean,
  nowMs: number,
): StoreReport {
  return {
    watches,
    isFailing: health.isFailing,
    ageMs: health.ageMs(nowMs),
    sinceReturnMs: nowMs - health.recoveredMs,
  };
}

/**
 * Combines the states of the hosts that watch. The store fails when it answers
 * none of them, and it has returned when any of them saw it return.
 *
 * @param own State of this host, which counts alone when no host watches.
 * @param peers States of other hosts, with the time of their reports.
 */
export function combineReports(
  own: StoreReport,
  peers: readonly { readonly report: StoreReport; readonly atMs: number }[],
  nowMs: number,
): StoreAvailability {
  const self = { report: own, atMs: nowMs };
  const watching = [self, ...peers].filter(({ report }) => report.watches);
  const all = watching.length > 0 ? watching : [self];
  let returnedMs = -Infinity;
  let ageMs = Infinity;
  let isFailing = true;
  for (const { report, atMs } of all) {
    returnedMs = Math.max(returnedMs, atMs - report.sinceReturnMs);
    ageMs = Math.min(ageMs, report.ageMs + nowMs - atMs);
    if (!report.isFailing) isFailing = false;
  }
  return { isFailing, ageMs, recoveredMs: returnedMs };
}
