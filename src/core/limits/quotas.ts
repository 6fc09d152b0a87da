/**
 * Rates of organisations that hold over all hosts together.
 *
 * Each host has a share of an organisation's rate and burst. A fixed part is
 * divided evenly over the known hosts; the rest follows the demand that hosts
 * report. A host that stops hearing from most others falls back to its fixed
 * part before the others take the rest, so a partition adds nothing.
 *
 * While all hosts together see less than the rate, a host may exceed its
 * share: only the sum of what all hosts admit counts then, so that chance at
 * one host refuses nothing.
 *
 * @module
 */
import type { Organisation } from "../document/document.ts";
import { DemandMeter } from "./demand_meter.ts";
import {
  createBucket,
  refill,
  resize,
  takeToken,
  timeToNextTokenMs,
  type TokenBucket,
} from "./token_bucket.ts";
import { SlidingWindowCounter } from "./sliding_window_counter.ts";

/** Part of a rate that is divided evenly and never taken by other hosts. */
const FIXED_PART = 0.2;
/** Silence of most hosts after which this host uses its fixed part only. */
export const ISOLATION_TIMEOUT_MS = 8_000;
/** Silence of a host after which the others use its floating part. */
export const RECLAIM_TIMEOUT_MS = 12_000;
/** Age of a report above which a host is assumed to use its whole share. */
const STALE_MS = 1_000;
/** Silence of a zone after which the reports of its hosts count again. */
const ZONE_SILENT_MS = 2 * RECLAIM_TIMEOUT_MS;
/** Requests a second that are added to each host's demand, against chance. */
const PRIOR_PER_S = 0.5;
/** Part of the rate up to which hosts may exceed their shares. */
const RELAXED_PART = 0.95;
/** The same where zones report as a whole, as their reports are older. */
const ZONED_RELAXED_PART = 0.65;
/** Time in which what a host admits is unknown in other zones. */
const UNSEEN_MS = 1_000;
/** Requests that a host may admit beyond its share in that time at least. */
const MIN_UNSEEN = 4;
/** Factor on its usual requests by which it may exceed its share in it. */
const UNSEEN_FACTOR = 2.5;
/** Tokens that a host may save at least, so that rare requests pass. */
const MIN_CAPACITY = 1;
/** Delay that is stated when the window is full, as a part of the window. */
const FULL_WINDOW_WAIT_PART = 0.1;
/**
 * Part of excess and slack that is used. The rest covers shares that differ
 * while hosts learn of each other's demand.
 */
const USED_EXCESS_PART = 0.5;

/** How an organisation's rate and burst are understood. */
export interface QuotaBounds {
  /** In each window of this length, rate times window plus burst may run. */
  readonly windowMs: number;
  /** Part by which that may be exceeded. */
  readonly excessFraction: number;
  /** Requests by which it may be exceeded besides. */
  readonly slackRequests: number;
}

/** What a host tells about one organisation. */
export interface Demand {
  /** Requests a second that callers send, admitted or not. */
  readonly requestsPerS: number;
  /** Requests that were admitted in the last window. */
  readonly admitted: number;
}

/** What another host, or all hosts of a zone, last reported. */
interface PeerDemand {
  demands: ReadonlyMap<string, Demand>;
  /** -Infinity for a host that has not reported yet. */
  heardMs: number;
  /** Hosts that the report is about. */
  hosts: number;
}

/** Another host. */
export interface QuotaPeer {
  readonly id: string;
  readonly availabilityZone: string;
}

interface Quota {
  organisation: Organisation;
  readonly bucket: TokenBucket;
  readonly window: SlidingWindowCounter;
  /** Admitted requests that other zones may not know of yet. */
  readonly unseen: SlidingWindowCounter;
  readonly meter: DemandMeter;
  share: number;
  /** Demand that the other hosts know of. */
  reportedPerS: number;
  /** Demand of all hosts as of the last update. */
  allPerS: number;
}

/** Result of asking for a request. */
export interface QuotaDecision {
  readonly admitted: boolean;
  /** Time until the next token when not admitted, in milliseconds. */
  readonly retryAfterMs: number;
}

const ADMITTED: QuotaDecision = { admitted: true, retryAfterMs: 0 };
const NO_DEMANDS: ReadonlyMap<string, Demand> = new Map();
const NO_DEMAND: Demand = { requestsPerS: 0, admitted: 0 };

/** Shares of this host. */
export class Quotas {
  readonly #bounds: QuotaBounds;
  #byId = new Map<string, Quota>();
  #peers = new Map<string, PeerDemand & QuotaPeer>();
  #zones = new Map<string, PeerDemand>();
  /** What counts of the two: zones where they report, else hosts. */
  #sources: readonly PeerDemand[] = [];
  /** Whether buckets start full, as no earlier run has spent anything. */
  #startsFull: boolean;
  /** Whether most hosts are heard. */
  #holds = false;
  /** Until then each host keeps to its share. */
  readonly #strictUntilMs: number;

  /**
   * @param options `startsFull` tells that no earlier run has spent anything.
   */
  constructor(
    bounds: QuotaBounds,
    { startsFull = false, nowMs }: { startsFull?: boolean; nowMs: number },
  ) {
    this.#bounds = bounds;
    this.#startsFull = startsFull;
    // What an earlier run has admitted counts in the windows until then.
    this.#strictUntilMs = startsFull ? -Infinity : nowMs + bounds.windowMs;
  }

  /** Takes over the organisations of a document. */
  configure(organisations: readonly Organisation[], nowMs: number): void {
    const known = this.#byId;
    this.#byId = new Map();
    for (const organisation of organisations) {
      if (organisation.ratePerS === 0) continue;
      const quota = known.get(organisation.id);
      this.#byId.set(
        organisation.id,
        quota === undefined
          ? this.#create(organisation, nowMs)
          : Object.assign(quota, { organisation }),
      );
    }
    this.#startsFull = false;
    this.update(nowMs);
  }

  /** Takes over which other hosts there are, heard of or not. */
  setPeers(others: readonly QuotaPeer[]): void {
    const peers = this.#peers;
    this.#peers = new Map(
      others.map(({ id, availabilityZone }) => [
        id,
        {
          id,
          availabilityZone,
          demands: NO_DEMANDS,
          heardMs: -Infinity,
          hosts: 1,
          ...peers.get(id),
        },
      ]),
    );
    this.#sources = this.#findSources(-Infinity);
  }

  /** Takes over what another host reports. */
  recordPeerDemands(
    hostId: string,
    demands: ReadonlyMap<string, Demand>,
    nowMs: number,
  ): void {
    const peer = this.#peers.get(hostId);
    if (peer !== undefined) Object.assign(peer, { demands, heardMs: nowMs });
  }

  /** Takes over what a zone reports for all its hosts. */
  recordZoneDemands(
    availabilityZone: string,
    demands: ReadonlyMap<string, Demand>,
    nowMs: number,
  ): void {
    const zone = this.#zones.get(availabilityZone);
    if (zone !== undefined) Object.assign(zone, { demands, heardMs: nowMs });
    else {
      const hosts = 0;
      this.#zones.set(availabilityZone, { demands, heardMs: nowMs, hosts });
    }
  }

  /** Asks for one request of an organisation. */
  admit(organisationId: string, nowMs: number): QuotaDecision {
    const quota = this.#byId.get(organisationId);
    if (quota === undefined) return ADMITTED;
    quota.meter.recordRequest();
    const { bucket, window, unseen } = quota;
    if (this.#isRelaxed(quota, nowMs)) {
      takeToken(bucket, nowMs);
      window.add(nowMs);
      unseen.add(nowMs);
      return ADMITTED;
    }
    if (window.count(nowMs) + 1 > this.#windowLimit(quota)) {
      // Tokens that were saved meanwhile would be the next burst.
      refill(bucket, nowMs);
      bucket.tokens = 0;
      const waitMs = this.#bounds.windowMs * FULL_WINDOW_WAIT_PART;
      return { admitted: false, retryAfterMs: waitMs };
    }
    if (!takeToken(bucket, nowMs)) {
      return {
        admitted: false,
        retryAfterMs: Math.ceil(timeToNextTokenMs(bucket)),
      };
    }
    window.add(nowMs);
    unseen.add(nowMs);
    return ADMITTED;
  }

  /** Returns the token of a request that did not run. */
  refund(organisationId: string, nowMs: number): void {
    const quota = this.#byId.get(organisationId);
    if (quota === undefined) return;
    const { bucket, window, unseen } = quota;
    refill(bucket, nowMs);
    bucket.tokens = Math.min(bucket.capacity, bucket.tokens + 1);
    window.removeLatest(nowMs);
    unseen.removeLatest(nowMs);
  }

  /** Follows the demand. Called a few times a second. */
  update(nowMs: number): void {
    this.#sources = this.#findSources(nowMs);
    const hosts = this.#peers.size + 1;
    const isHeard = (withinMs: number) => ({ heardMs }: PeerDemand) =>
      nowMs - heardMs < withinMs;
    const heard = hostsOf(this.#sources.filter(isHeard(ISOLATION_TIMEOUT_MS)));
    const counted = this.#sources.filter(isHeard(RECLAIM_TIMEOUT_MS));
    this.#holds = 2 * (heard + 1) > hosts;
    for (const [id, quota] of this.#byId) {
      quota.meter.update(nowMs);
      const othersPerS = sumOf(counted, id);
      const prior = PRIOR_PER_S * (hostsOf(counted) + 1);
      const floating = (quota.reportedPerS + PRIOR_PER_S) /
        (quota.reportedPerS + othersPerS + prior);
      quota.allPerS = quota.meter.peakRequestsPerS + othersPerS;
      quota.share = FIXED_PART / hosts +
        (this.#holds ? (1 - FIXED_PART) * floating : 0);
      resize(quota.bucket, this.#bucketOf(quota, nowMs), nowMs);
    }
  }

  /** Own demand of organisations that send, for the other hosts. */
  reportDemands(nowMs: number): Map<string, Demand> {
    const demands = new Map<string, Demand>();
    for (const [id, quota] of this.#byId) {
      const { meter, window } = quota;
      const admitted = window.count(nowMs);
      const perS = meter.steadyRequestsPerS;
      quota.reportedPerS = perS;
      // Less than one request in ten seconds changes no share.
      if (perS < 0.1 && admitted === 0) continue;
      demands.set(id, { requestsPerS: perS, admitted });
    }
    return demands;
  }

  /** Share of this host in an organisation's rate; 1 without a limit. */
  getShare(organisationId: string): number {
    return this.#byId.get(organisationId)?.share ?? 1;
  }

  /** Reports that count: of zones that report as a whole, else of hosts. */
  #findSources(nowMs: number): PeerDemand[] {
    for (const zone of this.#zones.values()) zone.hosts = 0;
    const sources: PeerDemand[] = [];
    for (const peer of this.#peers.values()) {
      const zone = this.#zones.get(peer.availabilityZone);
      if (zone === undefined || nowMs - zone.heardMs > ZONE_SILENT_MS) {
        sources.push(peer);
        continue;
      }
      if (zone.hosts === 0) sources.push(zone);
      zone.hosts += 1;
    }
    return sources;
  }

  #create(organisation: Organisation, nowMs: number): Quota {
    const share = 1 / (this.#peers.size + 1);
    const size = this.#bucketOf({ organisation, share }, nowMs);
    const bucket = createBucket(size, nowMs);
    if (this.#startsFull) bucket.tokens = bucket.capacity;
    return {
      organisation,
      bucket,
      window: new SlidingWindowCounter(this.#bounds.windowMs, nowMs),
      unseen: new SlidingWindowCounter(UNSEEN_MS, nowMs),
      meter: new DemandMeter(nowMs),
      share,
      reportedPerS: 0,
      allPerS: 0,
    };
  }

  /** Whether only the sum over all hosts counts now. */
  #isRelaxed(quota: Quota, nowMs: number): boolean {
    const { organisation, allPerS, window } = quota;
    if (!this.#holds || nowMs < this.#strictUntilMs) return false;
    const allowed = this.#allowed(organisation);
    const { windowMs } = this.#bounds;
    const most = allowed *
      (this.#zones.size > 0 ? ZONED_RELAXED_PART : RELAXED_PART);
    if (allPerS * windowMs / 1_000 > most) return false;
    let admitted = window.count(nowMs);
    const stale = allowed / (this.#peers.size + 1);
    for (const { demands, heardMs, hosts } of this.#sources) {
      const ageMs = nowMs - heardMs;
      const demand = demands.get(organisation.id) ?? NO_DEMAND;
      admitted += ageMs > STALE_MS
        ? Math.max(stale * hosts, demand.admitted)
        : demand.admitted + demand.requestsPerS * ageMs / 1_000;
    }
    if (admitted >= most) return false;
    return this.#zones.size === 0 || quota.unseen.count(nowMs) < Math.max(
          MIN_UNSEEN,
          UNSEEN_FACTOR * quota.reportedPerS * UNSEEN_MS / 1_000,
          (most - admitted) / (this.#peers.size + 1),
        );
  }

  /**
   * The burst may be used again in each window, so a sustained rate holds the
   * bound of the window with the burst spread over it. After a restart an
   * earlier run may have used the burst.
   */
  #bucketOf(
    { organisation, share }: Pick<Quota, "organisation" | "share">,
    nowMs: number,
  ) {
    const windowS = this.#bounds.windowMs / 1_000;
    const perS = nowMs < this.#strictUntilMs
      ? organisation.ratePerS
      : this.#allowed(organisation) / windowS;
    return {
      tokensPerS: share * perS,
      capacity: Math.max(MIN_CAPACITY, organisation.burst * share),
    };
  }

  #windowLimit({ organisation, share }: Quota): number {
    return Math.max(MIN_CAPACITY, this.#allowed(organisation) * share);
  }

  /** Requests that all hosts together may run in a window. */
  #allowed({ ratePerS, burst }: Organisation): number {
    const { windowMs, excessFraction: excessPart, slackRequests: slack } =
      this.#bounds;
    const stated = ratePerS * windowMs / 1_000 + burst;
    return stated + USED_EXCESS_PART * (stated * excessPart + slack);
  }
}

function hostsOf(sources: readonly PeerDemand[]): number {
  return sources.reduce((sum, { hosts }) => sum + hosts, 0);
}

function sumOf(peers: readonly PeerDemand[], id: string): number {
  let perS = 0;
  for (const { demands } of peers) perS += demands.get(id)?.requestsPerS ?? 0;
  return perS;
}
