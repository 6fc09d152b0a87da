/**
 * Failure detector for the entry hosts, and choice of the hosts that reports
 * are sent to. Every host reports periodically, directly or through a delegate
 * of its zone; a host whose reports stop is considered dead.
 *
 * @module
 */
import { hash32, mix32 } from "../hash32.ts";
import type { HostAddress, HostRecord } from "./types.ts";

/** Silence after which a host is considered dead. Hosts report every 250 ms. */
export const FAILURE_TIMEOUT_MS = 1_800;
/**
 * Minimum number of peers with which hosts report only inside their zone, and
 * one delegate of each zone reports to the other zones. The number of messages
 * that a host sends then grows with the size of its zone and the number of
 * zones instead of the size of the fleet.
 */
const DELEGATES_MIN_PEERS = 24;

/**
 * Hosts that are remembered without a registration, to bound memory. A fleet of
 * this size registers itself within seconds.
 */
const MAX_UNREGISTERED = 4_096;

/** Silence of a delegate after which the next host of its zone takes over. */
const DELEGATE_TIMEOUT_MS = 700;

interface PeerState {
  record: HostRecord;
  lastReportMs: number;
}

/** Tracks the other hosts and chooses where reports are sent. */
export class Membership {
  readonly #self: HostAddress;
  #peers = new Map<string, PeerState>();
  #registered = new Map<string, HostAddress>();
  /** Number of hosts that have reported and are not registered. */
  #unregisteredCount = 0;
  /** Registered hosts and those that have reported; `undefined` after a change. */
  #allPeers: readonly HostAddress[] | undefined;
  #livePeers: readonly HostRecord[] = [];
  #livePeersUpdatedMs = -Infinity;

  constructor(self: HostAddress) {
    this.#self = self;
  }

  /**
   * Records a report, received directly or forwarded by another host.
   *
   * @returns Whether the report supersedes the last one of that host. One of a
   * host that isn't registered is ignored if there are too many of them.
   */
  recordReport(record: HostRecord, nowMs: number): boolean {
    if (record.id === this.#self.id) return false;
    const peer = this.#peers.get(record.id);
    const isUnregistered = peer === undefined &&
      !this.#registered.has(record.id);
    if (isUnregistered && this.#unregisteredCount >= MAX_UNREGISTERED) {
      return false;
    }
    if (peer !== undefined) {
      const silenceMs = nowMs - peer.lastReportMs;
      if (!supersedes(record, peer.record, silenceMs)) return false;
    }
    this.#peers.set(record.id, { record, lastReportMs: nowMs });
    if (peer?.record.startedMs !== record.startedMs) {
      this.#allPeers = undefined;
    }
    if (isUnregistered) this.#unregisteredCount += 1;
    if (
      peer?.record.state !== record.state ||
      peer.record.hasTargetPath !== record.hasTargetPath
    ) {
      this.#livePeersUpdatedMs = -Infinity;
    }
    return true;
  }

  /** Replaces the list of hosts that are registered in the store. */
  setRegistered(hosts: readonly HostAddress[]): void {
    this.#registered = new Map(
      hosts.filter(({ id }) => id !== this.#self.id)
        .map((host) => [host.id, host]),
    );
    for (const [id, { record }] of this.#peers) {
      // Drops the peer if another machine was registered under its host id.
      const registered = this.#registered.get(id);
      if (
        registered !== undefined &&
        registered.peerAddress !== record.peerAddress
      ) {
        this.#peers.delete(id);
      }
    }
    this.#allPeers = undefined;
    this.#unregisteredCount =
      [...this.#peers.keys()].filter((id) => !this.#registered.has(id)).length;
  }

  /**
   * Excludes a pause of this process from the silence of all peers, as it could
   * not receive reports during the pause.
   */
  recordPause(pauseMs: number): void {
    for (const peer of this.#peers.values()) peer.lastReportMs += pauseMs;
  }

  /**
   * Last reports of the other hosts that are alive, sorted by id. May be out of
   * date by up to a tenth of FAILURE_TIMEOUT_MS.
   */
  livePeers(nowMs: number): readonly HostRecord[] {
    // Cached because every request reads the list.
    if (nowMs - this.#livePeersUpdatedMs < FAILURE_TIMEOUT_MS / 10) {
      return this.#livePeers;
    }
    this.#livePeersUpdatedMs = nowMs;
    this.#livePeers = [...this.#peers.values()]
      .filter(({ lastReportMs }) => nowMs - lastReportMs < FAILURE_TIMEOUT_MS)
      .map(({ record }) => record)
      .sort((a, b) => a.id < b.id ? -1 : 1);
    return this.#livePeers;
  }

  /**
   * The last report of another host, alive or not, and the time at which it was
   * received; `undefined` if the host has not reported.
   */
  get(id: string): { record: HostRecord; lastReportMs: number } | undefined {
    return this.#peers.get(id);
  }

  /** Whether a report of any other host was received. */
  get hasReports(): boolean {
    return this.#peers.size > 0;
  }

  /** All other hosts that are registered or have reported, alive or not. */
  peers(): readonly HostAddress[] {
    return this.#allPeers ??= [
      ...this.#registered.values(),
      ...[...this.#peers.values()].map(({ record }) => record)
        .filter(({ id }) => !this.#registered.has(id)),
    ];
  }

  /**
   * Rank of this host, from 0, among the ready hosts for a task that only the
   * first host or hosts perform for the fleet. Hosts are ranked by rendezvous
   * hashing of the task's name.
   *
   * @param isEligible Whether another host is able to perform the task; hosts
   * that are not get no rank.
   */
  taskRank(
    task: string,
    nowMs: number,
    isEligible: (hostId: string) => boolean = () => true,
  ): number {
    const taskHash = hash32(task);
    const ownScore = mix32(taskHash, hash32(this.#self.id));
    return this.livePeers(nowMs)
      .filter(({ id, state }) =>
        state === "ready" && mix32(taskHash, hash32(id)) < ownScore &&
        isEligible(id)
      ).length;
  }

  /** Whether hosts report to other zones through a delegate of their zone. */
  get usesDelegates(): boolean {
    const peerCount = this.#registered.size + this.#unregisteredCount;
    return peerCount >= DELEGATES_MIN_PEERS;
  }

  /** Number of zones with hosts, including that of this host. */
  get zoneCount(): number {
    const zones = this.peers().map(({ availabilityZone }) => availabilityZone);
    return new Set([...zones, this.#self.availabilityZone]).size;
  }

  /**
   * Hosts to which this host sends its own report: those of its zone when
   * delegates are used, otherwise all.
   */
  directPeers(): readonly HostAddress[] {
    const peers = this.peers();
    if (peers.length < DELEGATES_MIN_PEERS) return peers;
    const { availabilityZone } = this.#self;
    return peers.filter((peer) => peer.availabilityZone === availabilityZone);
  }

  /**
   * Whether this host is the delegate of its zone. A leaving host is not, unless
   * no other host of the zone can be.
   */
  isDelegate(
    nowMs: number,
    { isLeaving = false }: { isLeaving?: boolean } = {},
  ): boolean {
    if (!this.usesDelegates) return false;
    const { availabilityZone, id } = this.#self;
    const firstPeerId = this.#findFirstReachable(availabilityZone, nowMs);
    return firstPeerId === undefined || (!isLeaving && id < firstPeerId);
  }

  /**
   * Returns one host of each other zone: its delegate, or the hosts of the zone
   * in turn while none of them has reported recently.
   *
   * @param round Number that the caller increments with each call, so that the
   * hosts take turns.
   */
  remoteDelegates(round: number, nowMs: number): HostAddress[] {
    const peers = this.peers();
    const hostsByZone = new Map<string, HostAddress[]>();
    for (const host of peers) {
      const { availabilityZone } = host;
      if (availabilityZone === this.#self.availabilityZone) continue;
      const hosts = hostsByZone.get(availabilityZone) ?? [];
      hosts.push(host);
      hostsByZone.set(availabilityZone, hosts);
    }
    return [...hostsByZone].map(([zone, hosts]) => {
      const delegateId = this.#findFirstReachable(zone, nowMs);
      return hosts.find(({ id }) => id === delegateId) ??
        hosts[round % hosts.length];
    });
  }

  /**
   * The lowest id of the other hosts of a zone that have reported recently and
   * are not leaving. That host is the delegate; in this host's own zone, only if
   * this host's id is not lower.
   */
  #findFirstReachable(
    availabilityZone: string,
    nowMs: number,
  ): string | undefined {
    const isOwnZone = availabilityZone === this.#self.availabilityZone;
    const timeoutMs = isOwnZone ? DELEGATE_TIMEOUT_MS : FAILURE_TIMEOUT_MS;
    let firstId: string | undefined;
    // A loop without lists, as it runs for each summary of another zone.
    for (const { record, lastReportMs } of this.#peers.values()) {
      if (record.availabilityZone !== availabilityZone) continue;
      if (record.state === "leaving") continue;
      if (nowMs - lastReportMs >= timeoutMs) continue;
      if (firstId === undefined || record.id < firstId) firstId = record.id;
    }
    return firstId;
  }
}

/** Fields that order the reports of a host. */
export interface ReportOrder {
  /** Unix time of the start of the process in milliseconds. */
  readonly startedMs: number;
  /** Number of the report among those of the process. */
  readonly sequence: number;
}

/**
 * Whether a report supersedes the last one. One of another process does so even
 * with an earlier start if the last process is considered dead, as the time of
 * day may have gone back.
 *
 * @param silenceMs Time since the last report was received.
 */
export function supersedes(
  report: ReportOrder,
  last: ReportOrder,
  silenceMs: number,
): boolean {
  if (report.startedMs === last.startedMs) {
    return report.sequence > last.sequence;
  }
  return report.startedMs > last.startedMs || silenceMs >= FAILURE_TIMEOUT_MS;
}
