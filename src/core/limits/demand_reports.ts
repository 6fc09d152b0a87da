/**
 * Demand that other hosts report, each for itself or for its zone.
 *
 * @module
 */

/**
 * Time without reports from a host after which the others use its floating
 * share.
 */
export const RECLAIM_TIMEOUT_MS = 12_000;
/**
 * Age of a report above which each host that it covers is assumed to have
 * admitted at least an even share of the limit.
 */
const STALE_REPORT_MS = 750;
/** The same age for zones, whose reports are older when they arrive. */
const STALE_ZONE_REPORT_MS = 1_000;
/**
 * Time without reports from a zone after which the reports from its single
 * hosts are used again.
 */
const ZONE_REPORT_TIMEOUT_MS = 2 * RECLAIM_TIMEOUT_MS;

/** Demand of one organisation at one host or at all hosts of a zone. */
export interface Demand {
  /** Requests that callers send per second, admitted or not. */
  readonly requestsPerS: number;
  /** Requests that were admitted in the last window. */
  readonly admitted: number;
  /**
   * Fraction of the floating share that is reserved for silent hosts of a zone,
   * apart from the demand. Default: 0.
   */
  readonly reservedFraction?: number;
}

export const NO_DEMAND: Demand = { requestsPerS: 0, admitted: 0 };

/** Last report from another host, or from a zone for all its hosts. */
export interface DemandReport {
  /** Demand by organisation. */
  demands: ReadonlyMap<string, Demand>;
  /** -Infinity for a host that has not reported yet. */
  receivedMs: number;
  /** Time of the first update with the report's entry; `undefined` before it. */
  knownMs: number | undefined;
  readonly isZone: boolean;
  /** Number of hosts that the report covers. */
  hostCount: number;
  /**
   * Total demand by organisation when the report was received, once the report
   * is stale. The hosts that it covers may still use the share that they had.
   */
  totalsRequestsPerS: ReadonlyMap<string, number> | undefined;
}

/** Another host, which has a share of its own. */
export interface QuotaPeer {
  readonly id: string;
  readonly availabilityZone: string;
}

const NO_DEMANDS: ReadonlyMap<string, Demand> = new Map();

/** Last reports of all other hosts. */
export class DemandReports {
  #peers = new Map<string, DemandReport & QuotaPeer>();
  #zoneReports = new Map<string, DemandReport>();
  /** One report for each zone that reports as a whole, else for each host. */
  #selected: DemandReport[] = [];

  /** Number of other hosts. */
  get peerCount(): number {
    return this.#peers.size;
  }

  /** Whether whole zones report. */
  get hasZones(): boolean {
    return this.#zoneReports.size > 0;
  }

  /**
   * One report for each zone that reports as a whole, else for each host, as of
   * the last `update`.
   */
  get selected(): readonly DemandReport[] {
    return this.#selected;
  }

  /** Sets the other hosts, also those that have not reported yet. */
  setPeers(peers: readonly QuotaPeer[]): void {
    const previous = this.#peers;
    this.#peers = new Map(
      peers.map((peer) => [
        peer.id,
        previous.get(peer.id) ?? createPeerReport(peer),
      ]),
    );
    const zones = new Set(
      peers.map(({ availabilityZone }) => availabilityZone),
    );
    for (const zone of this.#zoneReports.keys()) {
      if (!zones.has(zone)) this.#zoneReports.delete(zone);
    }
    // With this time no zone report has expired; `update` checks their ages.
    this.update(-Infinity);
  }

  /** Adds another host; a known one is left as it is. */
  addPeer(peer: QuotaPeer): void {
    if (this.#peers.has(peer.id)) return;
    const report = createPeerReport(peer);
    this.#peers.set(peer.id, report);
    const zone = this.#zoneReports.get(peer.availabilityZone);
    if (zone === undefined) this.#selected.push(report);
    else {
      if (zone.hostCount === 0) this.#selected.push(zone);
      zone.hostCount += 1;
    }
  }

  /** Returns the reports of the single hosts of a zone. */
  ofHostsIn(availabilityZone: string): DemandReport[] {
    return [...this.#peers.values()]
      .filter((peer) => peer.availabilityZone === availabilityZone);
  }

  /** Records a report from another host; unknown hosts are ignored. */
  recordPeer(
    hostId: string,
    demands: ReadonlyMap<string, Demand>,
    nowMs: number,
  ): void {
    const peer = this.#peers.get(hostId);
    if (peer !== undefined) Object.assign(peer, { demands, receivedMs: nowMs });
  }

  /** Records a report from a zone, summed over its hosts. */
  recordZone(
    availabilityZone: string,
    demands: ReadonlyMap<string, Demand>,
    nowMs: number,
  ): void {
    const zone = this.#zoneReports.get(availabilityZone);
    if (zone !== undefined) Object.assign(zone, { demands, receivedMs: nowMs });
    else {
      const hostCount = 0;
      this.#zoneReports.set(availabilityZone, {
        demands,
        receivedMs: nowMs,
        knownMs: nowMs,
        isZone: true,
        hostCount,
        totalsRequestsPerS: undefined,
      });
    }
  }

  /**
   * Selects the reports, by the ages of those of zones, and sets the host counts
   * of these.
   */
  update(nowMs: number): void {
    for (const zone of this.#zoneReports.values()) zone.hostCount = 0;
    const reports: DemandReport[] = [];
    for (const peer of this.#peers.values()) {
      if (nowMs > -Infinity) peer.knownMs ??= nowMs;
      const zone = this.#zoneReports.get(peer.availabilityZone);
      if (
        zone === undefined || nowMs - zone.receivedMs > ZONE_REPORT_TIMEOUT_MS
      ) {
        reports.push(peer);
        continue;
      }
      if (zone.hostCount === 0) reports.push(zone);
      zone.hostCount += 1;
    }
    this.#selected = reports;
  }
}

/** Creates the entry of a host that has not reported yet. */
function createPeerReport(
  { id, availabilityZone }: QuotaPeer,
): DemandReport & QuotaPeer {
  return {
    id,
    availabilityZone,
    demands: NO_DEMANDS,
    receivedMs: -Infinity,
    knownMs: undefined,
    isZone: false,
    hostCount: 1,
    totalsRequestsPerS: undefined,
  };
}

/**
 * Whether the hosts that a report covers may still use a floating share. Those
 * that have not reported yet may do so as well: they may be cut off, and this
 * process may have started since.
 */
export function mayHaveShare(
  { receivedMs, knownMs = -Infinity }: DemandReport,
  nowMs: number,
): boolean {
  return nowMs - Math.max(receivedMs, knownMs) < RECLAIM_TIMEOUT_MS;
}

/** Whether a host or zone is silent for longer than it takes between reports. */
export function isStale(
  { receivedMs, isZone }: DemandReport,
  nowMs: number,
): boolean {
  const maxAgeMs = isZone ? STALE_ZONE_REPORT_MS : STALE_REPORT_MS;
  return nowMs - receivedMs > maxAgeMs;
}

/** Number of hosts that the reports cover. */
export function countHosts(reports: readonly DemandReport[]): number {
  return reports.reduce((sum, { hostCount }) => sum + hostCount, 0);
}
