/**
 * Counts the responses of versions by route over all hosts, in total and
 * within a recent window.
 *
 * @module
 */
import type { VersionCount } from "./types.ts";

/** Time between two snapshots of the sums. */
const SNAPSHOT_INTERVAL_MS = 250;
/** Snapshot intervals in the recent window. */
const WINDOW_INTERVALS = 8;

/** Responses on one route. */
export interface ResponseCounts {
  /** Number of responses, bad ones included. */
  answers: number;
  /** Responses that failed or came far later than expected. */
  bad: number;
}

/**
 * Response counts of this host, the other hosts and other zones.
 * `getCountsByRoute` returns their sums as of the last `update`.
 */
export class VersionCounts {
  /** Counts of this host by key. */
  #local = new Map<string, { count: VersionCount & ResponseCounts }>();
  /** Counts by process of a host. */
  #peerCounts = new Map<string, readonly VersionCount[]>();
  /** Counts by zone and key. */
  #zoneCounts = new Map<string, Map<string, VersionCount>>();
  /** Sums over all hosts, the oldest first. */
  #snapshots: Map<string, ResponseCounts>[] = [];
  #lastSnapshotMs = -Infinity;

  /** Counts a response that this host received. */
  recordResponse(
    { service, routeId, version }: Omit<VersionCount, "answers" | "bad">,
    isBad: boolean,
  ): void {
    const key = createKey(service, routeId, version);
    let entry = this.#local.get(key);
    if (entry === undefined) {
      entry = { count: { service, routeId, version, answers: 0, bad: 0 } };
      this.#local.set(key, entry);
    }
    entry.count.answers += 1;
    if (isBad) entry.count.bad += 1;
  }

  /**
   * Sets the counts of another host.
   *
   * @param processId Identifies the host's process; counts start anew with it.
   */
  setPeerCounts(processId: string, counts: readonly VersionCount[]): void {
    if (counts.length > 0) this.#peerCounts.set(processId, counts);
  }

  /**
   * Drops the counts of other hosts and zones for services that are not in
   * release, including those of processes that have ended since.
   */
  retainServices(services: ReadonlySet<string>): void {
    for (const [processId, counts] of this.#peerCounts) {
      const kept = counts.filter(({ service }) => services.has(service));
      if (kept.length === 0) this.#peerCounts.delete(processId);
      else if (kept.length < counts.length) {
        this.#peerCounts.set(processId, kept);
      }
    }
    for (const [zone, sums] of this.#zoneCounts) {
      for (const [key, { service }] of sums) {
        if (!services.has(service)) sums.delete(key);
      }
      if (sums.size === 0) this.#zoneCounts.delete(zone);
    }
  }

  /**
   * Records the sums of a zone. Counts never decrease, so a smaller one comes
   * from a host that lacks some counts of its zone, and is ignored.
   */
  setZoneCounts(
    availabilityZone: string,
    counts: readonly VersionCount[],
  ): void {
    const sums = this.#zoneCounts.get(availabilityZone) ??
      new Map<string, VersionCount>();
    this.#zoneCounts.set(availabilityZone, sums);
    for (const count of counts) {
      const key = createKey(count.service, count.routeId, count.version);
      const previous = sums.get(key);
      sums.set(key, {
        ...count,
        answers: Math.max(count.answers, previous?.answers ?? 0),
        bad: Math.max(count.bad, previous?.bad ?? 0),
      });
    }
  }

  /** Returns the sums over this host and those that report to it directly. */
  sumLocalAndPeerCounts(services: ReadonlySet<string>): VersionCount[] {
    const sums = new Map<string, VersionCount & ResponseCounts>();
    const add = (count: VersionCount) => {
      if (!services.has(count.service)) return;
      const key = createKey(count.service, count.routeId, count.version);
      const sum = sums.get(key);
      if (sum === undefined) sums.set(key, { ...count });
      else {
        sum.answers += count.answers;
        sum.bad += count.bad;
      }
    };
    for (const { count } of this.#local.values()) add(count);
    for (const counts of this.#peerCounts.values()) counts.forEach(add);
    return [...sums.values()];
  }

  /** Returns the counts of this host for some services. */
  getLocalCounts(services: ReadonlySet<string>): VersionCount[] {
    return [...this.#local.values()]
      .map(({ count }) => ({ ...count }))
      .filter(({ service }) => services.has(service));
  }

  /** Takes a snapshot when one is due. Called a few times a second. */
  update(nowMs: number): void {
    if (nowMs - this.#lastSnapshotMs < SNAPSHOT_INTERVAL_MS) return;
    this.#lastSnapshotMs = nowMs;
    this.#snapshots.push(this.#sumAll());
    if (this.#snapshots.length > WINDOW_INTERVALS + 1) this.#snapshots.shift();
  }

  /**
   * Returns the responses of a version of a service by route.
   *
   * @param options `onlyRecent`: counts only the recent window.
   * `excludesVersion`: counts all other versions of the service instead.
   */
  getCountsByRoute(
    service: string,
    version: string,
    options: { onlyRecent?: boolean; excludesVersion?: boolean } = {},
  ): Map<string, ResponseCounts> {
    const { onlyRecent = false, excludesVersion = false } = options;
    const latest = this.#snapshots.at(-1) ?? new Map<string, ResponseCounts>();
    const baseline = onlyRecent ? this.#snapshots[0] : undefined;
    const result = new Map<string, ResponseCounts>();
    for (const [key, counts] of latest) {
      const [keyService, routeId, keyVersion] = key.split("\n");
      if (keyService !== service) continue;
      if ((keyVersion === version) === excludesVersion) continue;
      const before = baseline?.get(key);
      const sum = result.get(routeId) ?? { answers: 0, bad: 0 };
      sum.answers += counts.answers - (before?.answers ?? 0);
      sum.bad += counts.bad - (before?.bad ?? 0);
      result.set(routeId, sum);
    }
    return result;
  }

  /** Sums over all hosts and zones. */
  #sumAll(): Map<string, ResponseCounts> {
    const sums = new Map<string, ResponseCounts>();
    const add = (count: VersionCount) => {
      const key = createKey(count.service, count.routeId, count.version);
      const sum = sums.get(key) ?? { answers: 0, bad: 0 };
      sum.answers += count.answers;
      sum.bad += count.bad;
      sums.set(key, sum);
    };
    for (const { count } of this.#local.values()) add(count);
    for (const counts of this.#peerCounts.values()) counts.forEach(add);
    for (const counts of this.#zoneCounts.values()) counts.forEach(add);
    return sums;
  }
}

function createKey(service: string, routeId: string, version: string): string {
  return `${service}\n${routeId}\n${version}`;
}
