/**
 * Availability of the store, combined from the observations of the hosts that
 * watch it.
 *
 * @module
 */
import type { StoreHealth } from "./store_health.ts";
import type { ViewConfirmation } from "./view_freshness.ts";

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
  /** Views that the host's own calls have shown to be complete. */
  readonly confirmations: readonly ViewConfirmation[];
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
  { watches, confirmations }: Pick<StoreReport, "watches" | "confirmations">,
  nowMs: number,
): StoreReport {
  return {
    watches,
    confirmations,
    isFailing: health.isFailing,
    ageMs: health.ageMs(nowMs),
    sinceReturnMs: nowMs - health.recoveredMs,
  };
}

/**
 * Returns a report as it holds some time later without news from its host, so
 * that a host which passes it on does not make it look recent.
 */
export function ageStoreReport(
  report: StoreReport,
  elapsedMs: number,
): StoreReport {
  return {
    ...report,
    ageMs: report.ageMs + elapsedMs,
    sinceReturnMs: report.sinceReturnMs + elapsedMs,
    confirmations: report.confirmations.map((confirmation) => ({
      ...confirmation,
      ageMs: confirmation.ageMs + elapsedMs,
    })),
  };
}

/**
 * Combines the reports of the hosts that watch. The store is failing when it
 * fails for all of them, and it has recovered when it answers the first of them
 * again: one that got answers all the while shows that the failures of the others
 * were those of their connections. A recovery that this host has observed itself
 * counts for it, as the targets near it may have been cut off from the store too.
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
  let recoveredMs = Infinity;
  let ageMs = Infinity;
  for (const { report, receivedMs } of counted) {
    ageMs = Math.min(ageMs, report.ageMs + nowMs - receivedMs);
    if (report.isFailing) continue;
    recoveredMs = Math.min(recoveredMs, receivedMs - report.sinceReturnMs);
  }
  const isFailing = recoveredMs === Infinity;
  const ownRecoveredMs = nowMs - ownReport.sinceReturnMs;
  return {
    isFailing,
    ageMs,
    recoveredMs: isFailing
      ? ownRecoveredMs
      : Math.max(ownRecoveredMs, recoveredMs),
  };
}
