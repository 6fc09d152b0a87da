/**
 * Limits the request rate of each organisation over all hosts together.
 *
 * Each host has a share of an organisation's rate and burst, and a token
 * bucket of that size. A host's share is the sum of a fixed share, which is
 * the same for all hosts, and a floating share in proportion to the demand that
 * the host reports. A host without recent reports from most hosts falls back to
 * its fixed share before the others take over its floating share, so a network
 * partition does not raise the total. Meanwhile the share that a silent host had
 * is reserved for it: the hosts on each side of a partition divide only what
 * their side had, whatever the demand on either side becomes.
 *
 * While the demand at all hosts is below the rate, a host may exceed its
 * share, and only the sum of the requests that all hosts admit is limited.
 * Without this rule, a random burst at one host would be refused although the
 * organisation is within its rate.
 *
 * Shares move with the demand, but what a host has admitted stays in the
 * window. While a host has used more than its present share, the others divide
 * only the rest.
 *
 * `configure` and `setPeers` set the organisations and the other hosts,
 * `admit` decides on each request, `update` recomputes the shares, and
 * `reportDemands` and `reportZoneDemands` return what the other hosts pass to
 * `recordPeerDemands` or `recordZoneDemands`.
 *
 * @module
 */
import type { Organisation } from "../document/document.ts";
import { RecentValues } from "./recent_values.ts";
import {
  countHosts,
  type Demand,
  type DemandReport,
  DemandReports,
  isStale,
  mayHaveShare,
  NO_DEMAND,
  type QuotaPeer,
} from "./demand_reports.ts";
import {
  divideDemand,
  findReservedFraction,
  reserveStaleShares,
} from "./demand_shares.ts";
import { DemandMeter } from "./demand_meter.ts";
import { SlidingWindowCounter } from "./sliding_window_counter.ts";
import {
  createBucket,
  refill,
  resize,
  takeToken,
  timeToNextTokenMs,
  type TokenBucket,
} from "./token_bucket.ts";
import { UnreportedRequests } from "./unreported_requests.ts";
import { computeUsableFraction, type WindowUse } from "./window_division.ts";

/** Fraction of a rate that is divided evenly over the hosts as fixed shares. */
const FIXED_SHARE_FRACTION = 0.2;
/**
 * Time without reports from most hosts after which a host uses only its fixed
 * share. Shorter than RECLAIM_TIMEOUT_MS, so that no share is used twice.
 */
export const ISOLATION_TIMEOUT_MS = 8_000;
/**
 * Fraction of the limit on all hosts together below which a host may exceed its
 * share.
 */
const EXCEED_SHARE_BELOW_FRACTION = 0.95;
/**
 * The same fraction while whole zones report. Their reports are older than
 * those of single hosts.
 */
const ZONED_EXCEED_SHARE_BELOW_FRACTION = 0.65;
/**
 * Lower bound of a host's bucket capacity and window limit. With less than one
 * request, a host with a small share would refuse all requests.
 */
const MIN_LIMIT_REQUESTS = 1;
/**
 * Advised delay before a retry while the window is full, as a fraction of it.
 */
const FULL_WINDOW_RETRY_FRACTION = 0.1;
/**
 * Fraction of the permitted excess and slack (`QuotaBounds`) that is added to
 * the stated limit. The remainder covers shares that sum to more than 1 while
 * hosts learn of each other's demand.
 */
const USED_EXCESS_FRACTION = 0.5;

/** Bounds on the requests of an organisation that are admitted in a window. */
export interface QuotaBounds {
  /**
   * Length of the window. The stated limit in it is the rate times this length,
   * plus the burst.
   */
  readonly windowMs: number;
  /** Fraction of the stated limit by which it may be exceeded. */
  readonly excessFraction: number;
  /** Requests by which the stated limit may be exceeded in addition. */
  readonly slackRequests: number;
}

/** State of one organisation's limit at this host. */
interface Quota {
  organisation: Organisation;
  readonly bucket: TokenBucket;
  /** Requests that were admitted in the last window. */
  readonly window: SlidingWindowCounter;
  /** Admitted requests that other hosts may not know of yet. */
  readonly unreported: UnreportedRequests;
  readonly meter: DemandMeter;
  /** Fraction of the organisation's rate that this host may admit. */
  share: number;
  /** Fractions of the floating share of other hosts, in order of `#divided`. */
  reportFractions: readonly number[];
  /**
   * Fraction of the share that may be used, as other hosts have used more than
   * theirs; `undefined` until it is needed after an update.
   */
  usableFraction: number | undefined;
  /** Demand in this host's last report. */
  reportedRequestsPerS: number;
  /** Demand at all hosts as of the last update. */
  fleetRequestsPerS: number;
  /** Totals of which the shares were computed. */
  readonly totals: RecentValues;
  /** This host's fractions of the floating share while others reported. */
  readonly ownFractions: RecentValues;
}

/** Result of the check of one request. */
export interface QuotaDecision {
  readonly isAdmitted: boolean;
  /** Time after which a refused request may be retried, in milliseconds. */
  readonly retryAfterMs: number;
}

const ADMITTED: QuotaDecision = { isAdmitted: true, retryAfterMs: 0 };

/** Rate limits of all organisations, as one host applies them. */
export class Quotas {
  readonly #bounds: QuotaBounds;
  #quotas = new Map<string, Quota>();
  readonly #reports = new DemandReports();
  /** Whether new buckets start full. */
  #startsFull: boolean;
  /** Whether this host has recent reports from most hosts. */
  #hasQuorum = false;
  /** Whether a host that still has its share is silent. */
  #hasStaleReport = false;
  /** Reports by which the last update divided the rates; expired ones last. */
  #divided: readonly DemandReport[] = [];
  /** Time until which this host never exceeds its share. */
  readonly #strictUntilMs: number;

  /**
   * @param options `startsFull`: whether the buckets of the first document
   * start full, because no earlier process of this host has admitted requests.
   * Default: false.
   */
  constructor(
    bounds: QuotaBounds,
    { startsFull = false, nowMs }: { startsFull?: boolean; nowMs: number },
  ) {
    this.#bounds = bounds;
    this.#startsFull = startsFull;
    // The current window may include requests that an earlier process admitted.
    this.#strictUntilMs = startsFull ? -Infinity : nowMs + bounds.windowMs;
  }

  /** Applies the organisations of a document. A rate of 0 means no limit. */
  configure(organisations: readonly Organisation[], nowMs: number): void {
    const previous = this.#quotas;
    this.#quotas = new Map();
    for (const organisation of organisations) {
      if (organisation.ratePerS === 0) continue;
      const quota = previous.get(organisation.id);
      this.#quotas.set(
        organisation.id,
        quota === undefined
          ? this.#createQuota(organisation, nowMs)
          : Object.assign(quota, { organisation }),
      );
    }
    this.#startsFull = false;
    this.update(nowMs);
  }

  /** Sets the other hosts, also those that have not reported yet. */
  setPeers(peers: readonly QuotaPeer[]): void {
    this.#reports.setPeers(peers);
  }

  /** Adds another host; a known one is left as it is. */
  addPeer(peer: QuotaPeer): void {
    this.#reports.addPeer(peer);
  }

  /** Records a report from another host; unknown hosts are ignored. */
  recordPeerDemands(
    hostId: string,
    demands: ReadonlyMap<string, Demand>,
    nowMs: number,
  ): void {
    this.#reports.recordPeer(hostId, demands, nowMs);
  }

  /** Records a report from a zone, summed over its hosts. */
  recordZoneDemands(
    availabilityZone: string,
    demands: ReadonlyMap<string, Demand>,
    nowMs: number,
  ): void {
    this.#reports.recordZone(availabilityZone, demands, nowMs);
  }

  /**
   * Decides whether one request of an organisation may run, and counts it.
   * Organisations without a limit are always admitted.
   */
  admit(organisationId: string, nowMs: number): QuotaDecision {
    const quota = this.#quotas.get(organisationId);
    if (quota === undefined) return ADMITTED;
    quota.meter.recordRequest();
    const { bucket, window } = quota;
    if (this.#mayExceedShare(quota, nowMs)) {
      takeToken(bucket, nowMs);
      countAdmitted(quota, nowMs);
      return ADMITTED;
    }
    if (window.count(nowMs) + 1 > this.#computeHostWindowLimit(quota, nowMs)) {
      // Tokens that accrue while the window is full would permit a burst
      // as soon as it has room.
      refill(bucket, nowMs);
      bucket.tokens = 0;
      const retryAfterMs = this.#bounds.windowMs * FULL_WINDOW_RETRY_FRACTION;
      return { isAdmitted: false, retryAfterMs };
    }
    if (!takeToken(bucket, nowMs)) {
      return {
        isAdmitted: false,
        retryAfterMs: Math.ceil(timeToNextTokenMs(bucket)),
      };
    }
    countAdmitted(quota, nowMs);
    return ADMITTED;
  }

  /**
   * Refunds the token of an admitted request that did not run, and removes the
   * request from the windows.
   */
  refund(organisationId: string, nowMs: number): void {
    const quota = this.#quotas.get(organisationId);
    if (quota === undefined) return;
    const { bucket, window, unreported } = quota;
    refill(bucket, nowMs);
    bucket.tokens = Math.min(bucket.capacity, bucket.tokens + 1);
    window.removeLatest(nowMs);
    unreported.removeLatest(nowMs);
  }

  /**
   * Recomputes the shares from the demand of all hosts. Called a few times a
   * second.
   */
  update(nowMs: number): void {
    this.#reports.update(nowMs);
    const { selected, peerCount } = this.#reports;
    const hostCount = peerCount + 1;
    const reportingHostCount = countHosts(
      selected.filter(({ receivedMs }) =>
        nowMs - receivedMs < ISOLATION_TIMEOUT_MS
      ),
    );
    const isCurrent = (report: DemandReport) => mayHaveShare(report, nowMs);
    const currentReports = selected.filter(isCurrent);
    this.#divided = [
      ...currentReports,
      ...selected.filter((report) => !isCurrent(report)),
    ];
    this.#hasQuorum = 2 * (reportingHostCount + 1) > hostCount;
    reserveStaleShares(currentReports, this.#quotas, nowMs);
    this.#hasStaleReport = currentReports.some((report) =>
      isStale(report, nowMs)
    );
    for (const [id, quota] of this.#quotas) {
      quota.meter.update(nowMs);
      const division = divideDemand(
        {
          organisationId: id,
          evenFraction: 1 / hostCount,
          reportedRequestsPerS: quota.reportedRequestsPerS,
          totals: quota.totals,
          ownFractions: quota.ownFractions,
        },
        currentReports,
        nowMs,
      );
      quota.fleetRequestsPerS = quota.meter.peakRequestsPerS +
        division.othersRequestsPerS;
      quota.share = FIXED_SHARE_FRACTION / hostCount +
        (this.#hasQuorum
          ? (1 - FIXED_SHARE_FRACTION) * division.ownFraction
          : 0);
      quota.reportFractions = division.reportFractions;
      quota.usableFraction = undefined;
      resize(quota.bucket, this.#computeBucketLimits(quota, nowMs), nowMs);
    }
  }

  /**
   * Returns what the hosts that a report covers have used of the window.
   *
   * @param options `fraction`: their fraction of the floating share.
   */
  #findWindowUse(
    organisation: Organisation,
    { report, fraction }: { report: DemandReport; fraction: number },
    nowMs: number,
  ): WindowUse {
    const fixedShare = FIXED_SHARE_FRACTION * report.hostCount /
      (this.#reports.peerCount + 1);
    const share = fixedShare + (1 - FIXED_SHARE_FRACTION) * fraction;
    const admitted = report.demands.get(organisation.id)?.admitted ?? 0;
    if (!isStale(report, nowMs)) return { admitted, share, isFixed: false };
    // A silent host may have used all of its share since its last report.
    const isWindowOver = nowMs - report.receivedMs >
      ISOLATION_TIMEOUT_MS + this.#bounds.windowMs;
    return {
      admitted: Math.max(
        isWindowOver ? 0 : admitted,
        share * this.#computeFleetWindowLimit(organisation),
      ),
      share,
      isFixed: true,
    };
  }

  /**
   * Returns this host's demand by organisation, to be sent to the other
   * hosts. This host's shares are computed from the demand that was returned
   * last, as the other hosts' are, so call this only when the result is sent.
   */
  reportDemands(nowMs: number): Map<string, Demand> {
    const demands = new Map<string, Demand>();
    for (const [id, quota] of this.#quotas) {
      const { meter, window } = quota;
      const admitted = window.count(nowMs);
      const requestsPerS = meter.steadyRequestsPerS;
      quota.reportedRequestsPerS = requestsPerS;
      // Less than one request in ten seconds does not affect the shares.
      if (requestsPerS < 0.1 && admitted === 0) continue;
      demands.set(id, { requestsPerS, admitted });
    }
    return demands;
  }

  /**
   * Returns the demand of this host's zone by organisation, to be sent to other
   * zones. What silent hosts of the zone may use is part of it, as the other
   * zones don't know of them.
   *
   * @param ownDemands What `reportDemands` has returned.
   */
  reportZoneDemands(
    availabilityZone: string,
    ownDemands: ReadonlyMap<string, Demand>,
    nowMs: number,
  ): Map<string, Demand> {
    const zoneDemands = new Map<string, Demand>();
    const reports = this.#reports.ofHostsIn(availabilityZone)
      .filter((report) => mayHaveShare(report, nowMs));
    const evenFraction = 1 / (this.#reports.peerCount + 1);
    for (const [id, { organisation }] of this.#quotas) {
      const isIdle = !ownDemands.has(id) &&
        reports.every(({ demands }) => !demands.has(id));
      if (isIdle) continue;
      let { requestsPerS, admitted } = ownDemands.get(id) ?? NO_DEMAND;
      let reservedFraction = 0;
      for (const report of reports) {
        const fraction = findReservedFraction(
          { organisationId: id, evenFraction },
          report,
        );
        if (fraction === undefined) {
          const demand = report.demands.get(id) ?? NO_DEMAND;
          requestsPerS += demand.requestsPerS;
          admitted += demand.admitted;
        } else {
          reservedFraction += fraction;
          const use = { report, fraction };
          admitted += this.#findWindowUse(organisation, use, nowMs).admitted;
        }
      }
      admitted = Math.ceil(admitted);
      zoneDemands.set(id, { requestsPerS, admitted, reservedFraction });
    }
    return zoneDemands;
  }

  /** Returns this host's share of an organisation's rate; 1 without a limit. */
  getShare(organisationId: string): number {
    return this.#quotas.get(organisationId)?.share ?? 1;
  }

  #createQuota(organisation: Organisation, nowMs: number): Quota {
    const share = 1 / (this.#reports.peerCount + 1);
    const limits = this.#computeBucketLimits({ organisation, share }, nowMs);
    const bucket = createBucket(limits, nowMs);
    if (this.#startsFull) bucket.tokens = bucket.capacity;
    return {
      organisation,
      bucket,
      window: new SlidingWindowCounter(this.#bounds.windowMs, nowMs),
      unreported: new UnreportedRequests(nowMs),
      meter: new DemandMeter(nowMs),
      share,
      reportFractions: [],
      usableFraction: undefined,
      reportedRequestsPerS: 0,
      fleetRequestsPerS: 0,
      totals: new RecentValues(),
      ownFractions: new RecentValues(),
    };
  }

  /**
   * Whether a request may run regardless of this host's share, because all
   * hosts together are below the limit.
   */
  #mayExceedShare(quota: Quota, nowMs: number): boolean {
    const { organisation, fleetRequestsPerS, window } = quota;
    if (!this.#hasQuorum || nowMs < this.#strictUntilMs) return false;
    const windowLimit = this.#computeFleetWindowLimit(organisation);
    const { windowMs } = this.#bounds;
    const maxAdmitted = windowLimit *
      (this.#reports.hasZones
        ? ZONED_EXCEED_SHARE_BELOW_FRACTION
        : EXCEED_SHARE_BELOW_FRACTION);
    if (fleetRequestsPerS * windowMs / 1_000 > maxAdmitted) return false;
    let admitted = window.count(nowMs);
    const evenLimit = windowLimit / (this.#reports.peerCount + 1);
    for (const report of this.#reports.selected) {
      const { demands, receivedMs, hostCount } = report;
      const ageMs = nowMs - receivedMs;
      const demand = demands.get(organisation.id) ?? NO_DEMAND;
      admitted += isStale(report, nowMs)
        ? Math.max(evenLimit * hostCount, demand.admitted)
        : demand.admitted + demand.requestsPerS * ageMs / 1_000;
    }
    if (admitted >= maxAdmitted) return false;
    return quota.unreported.hasRoom({
      reportedRequestsPerS: quota.reportedRequestsPerS,
      evenRoomRequests: (maxAdmitted - admitted) /
        (this.#reports.peerCount + 1),
      hasZones: this.#reports.hasZones,
    }, nowMs);
  }

  /**
   * Returns the rate and capacity of this host's bucket. The burst may be used
   * again in each window, so the rate includes the burst spread over the
   * window, except while an earlier process may have used the burst.
   */
  #computeBucketLimits(
    { organisation, share }: Pick<Quota, "organisation" | "share">,
    nowMs: number,
  ) {
    const windowS = this.#bounds.windowMs / 1_000;
    const requestsPerS = nowMs < this.#strictUntilMs
      ? organisation.ratePerS
      : this.#computeFleetWindowLimit(organisation) / windowS;
    return {
      tokensPerS: share * requestsPerS,
      capacity: Math.max(MIN_LIMIT_REQUESTS, organisation.burst * share),
    };
  }

  /** Returns the requests that this host may admit in a window. */
  #computeHostWindowLimit(quota: Quota, nowMs: number): number {
    const { organisation, share: ownShare, reportFractions } = quota;
    const limit = this.#computeFleetWindowLimit(organisation);
    quota.usableFraction ??= computeUsableFraction(
      { ownShare, limit },
      this.#divided.map((report, i) => {
        const fraction = reportFractions[i] ?? 0;
        return this.#findWindowUse(organisation, { report, fraction }, nowMs);
      }),
    );
    return Math.max(
      MIN_LIMIT_REQUESTS,
      limit * ownShare * quota.usableFraction,
    );
  }

  /**
   * Returns the requests that all hosts together may admit in a window: the
   * stated limit and part of the permitted excess.
   */
  #computeFleetWindowLimit({ ratePerS, burst }: Organisation): number {
    const { windowMs, excessFraction, slackRequests } = this.#bounds;
    const statedLimit = ratePerS * windowMs / 1_000 + burst;
    // Hosts that don't hear of each other can't make up for each other's bursts.
    const usedFraction = this.#hasStaleReport ? 0 : USED_EXCESS_FRACTION;
    return statedLimit +
      usedFraction * (statedLimit * excessFraction + slackRequests);
  }
}

/** Counts an admitted request. */
function countAdmitted({ window, unreported }: Quota, nowMs: number): void {
  window.add(nowMs);
  unreported.add(nowMs);
}
