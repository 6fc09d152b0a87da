/**
 * Availability of the store, combined from the observations of the hosts that
 * watch it.
 *
 * @module
 */
import type { StoreHealth } from "./store_health.ts";

/** Availability of the store as one host observes it. */
export interface StoreReport {
  /** Whether the host watches the store. */
  readonly watches: boolean;
  /** Whether the host's last call to the store failed. */
  readonly isFailing: boolean;
  /** Time since the store's last response; Infinity before the first one. */
  readonly ageMs: number;
  /** Time since the store last recovered from failures; Infinity if never. */
  readonly sinceReturnMs: number;
}

/** Availability of the store as the watching hosts observe it together. */
export interface StoreAvailability {
  readonly isFailing: boolean;
  /** Time since the store's last response to any of the hosts. */
  readonly ageMs: number;
  /** Time of the last recovery from failures; -Infinity if never. */
  readonly recoveredMs: number;
}

/** Creates the report of this host. */
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
 * Combines the reports of the hosts that watch. The store is failing when it
 * fails for all of them, and the latest recovery that any of them observed
 * counts.
 *
 * @param ownReport Report of this host, used alone when no host watches.
 * @param peers Reports of the other hosts with the time of their arrival.
 */
export function combineStoreReports(
  ownReport: StoreReport,
  peers: readonly {
    readonly report: StoreReport;
    readonly receivedMs: number;
  }[],
  nowMs: number,
): StoreAvailability {
  const ownEntry = { report: ownReport, receivedMs: nowMs };
  const watching = [ownEntry, ...peers].filter(({ report }) => report.watches);
  const counted = watching.length > 0 ? watching : [ownEntry];
  let recoveredMs = -Infinity;
  let ageMs = Infinity;
  let isFailing = true;
  for (const { report, receivedMs } of counted) {
    recoveredMs = Math.max(recoveredMs, receivedMs - report.sinceReturnMs);
    ageMs = Math.min(ageMs, report.ageMs + nowMs - receivedMs);
    if (!report.isFailing) isFailing = false;
  }
  return { isFailing, ageMs, recoveredMs };
}
