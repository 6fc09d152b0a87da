/**
 * Division of the floating share of a rate by the demand of the hosts.
 *
 * The share that a silent host had is reserved for it, as it may still use it:
 * the hosts on each side of a partition divide only what their side had.
 *
 * @module
 */
import type { RecentValues } from "./recent_values.ts";
import { type DemandReport, isStale, NO_DEMAND } from "./demand_reports.ts";

/**
 * Rate that is added to each host's demand, so that at low demand a few random
 * requests hardly change the shares.
 */
const PRIOR_REQUESTS_PER_S = 0.5;

/** Demand of an organisation, as far as its shares depend on it. */
export interface SharedDemand {
  readonly organisationId: string;
  /** Fraction of one host if all have the same. */
  readonly evenFraction: number;
  /** Demand in this host's last report. */
  readonly reportedRequestsPerS: number;
  /** Totals of which the shares were computed. */
  readonly totals: RecentValues;
  /** This host's fractions of the floating share while others reported. */
  readonly ownFractions: RecentValues;
}

/** Demand of an organisation at the other hosts, and the share it leaves. */
export interface DemandDivision {
  /**
   * This host's fraction of the floating share: by its demand among the hosts
   * that report, of what is not reserved for silent ones.
   */
  readonly ownFraction: number;
  /** The same of the hosts that each report covers, in order of the reports. */
  readonly reportFractions: readonly number[];
  /** Requests per second at the other hosts. */
  readonly othersRequestsPerS: number;
}

/** Divides the floating share of an organisation by the demand in reports. */
export function divideDemand(
  demand: SharedDemand,
  reports: readonly DemandReport[],
  nowMs: number,
): DemandDivision {
  const { organisationId, reportedRequestsPerS, totals, ownFractions } = demand;
  const ownRequestsPerS = reportedRequestsPerS + PRIOR_REQUESTS_PER_S;
  let sumRequestsPerS = ownRequestsPerS;
  let othersRequestsPerS = 0;
  let reserved = 0;
  const reservedFractions = reports.map((report) => {
    const { requestsPerS, reservedFraction = 0 } =
      report.demands.get(organisationId) ?? NO_DEMAND;
    othersRequestsPerS += requestsPerS;
    const fraction = findReservedFraction(demand, report);
    if (fraction === undefined) {
      sumRequestsPerS += addPrior(report, requestsPerS);
    }
    reserved += reservedFraction + (fraction ?? 0);
    return fraction;
  });
  const unreserved = Math.max(0, 1 - reserved);
  // The total at which the hosts that report would get the same shares.
  const totalRequestsPerS = sumRequestsPerS / unreserved;
  if (unreserved > 0) totals.record(totalRequestsPerS, nowMs);
  const reportFractions = reports.map((report, i) => {
    const { requestsPerS, reservedFraction = 0 } =
      report.demands.get(organisationId) ?? NO_DEMAND;
    return reservedFraction + (reservedFractions[i] ??
      addPrior(report, requestsPerS) / totalRequestsPerS);
  });
  let ownFraction = ownRequestsPerS / totalRequestsPerS;
  if (reports.length === 0 || sumRequestsPerS > ownRequestsPerS) {
    ownFractions.record(ownFraction, nowMs);
  } else {
    // All others are silent. What they leave would be a small difference of
    // large figures from different times.
    const silentSinceMs = Math.min(...reports.map((r) => r.receivedMs));
    ownFraction = ownFractions.at(silentSinceMs) ?? ownFraction;
  }
  return { ownFraction, othersRequestsPerS, reportFractions };
}

/**
 * Returns the fraction of the floating share that is reserved for a silent host
 * by its last report, or an even one if there is none; `undefined` for a host
 * that is not silent.
 */
export function findReservedFraction(
  { organisationId, evenFraction }: Pick<
    SharedDemand,
    "organisationId" | "evenFraction"
  >,
  report: DemandReport,
): number | undefined {
  const { demands, receivedMs, totalsRequestsPerS } = report;
  if (receivedMs === -Infinity) return evenFraction;
  const totalRequestsPerS = totalsRequestsPerS?.get(organisationId);
  if (totalRequestsPerS === undefined) return undefined;
  const { requestsPerS } = demands.get(organisationId) ?? NO_DEMAND;
  return addPrior(report, requestsPerS) / totalRequestsPerS;
}

function addPrior({ hostCount }: DemandReport, requestsPerS: number): number {
  return requestsPerS + PRIOR_REQUESTS_PER_S * hostCount;
}

/** Keeps the totals as of each report that has just become stale. */
export function reserveStaleShares(
  reports: readonly DemandReport[],
  totalsById: ReadonlyMap<string, { readonly totals: RecentValues }>,
  nowMs: number,
): void {
  for (const report of reports) {
    const { receivedMs } = report;
    if (!isStale(report, nowMs)) {
      report.totalsRequestsPerS = undefined;
    } else {
      report.totalsRequestsPerS ??= new Map(
        [...totalsById].flatMap(([id, { totals }]) => {
          const total = totals.at(receivedMs);
          return total === undefined ? [] : [[id, total] as const];
        }),
      );
    }
  }
}
