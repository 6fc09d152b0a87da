/**
 * Answers of versions over all hosts, in total and within a recent window.
 *
 * @module
 */
import type { VersionCount } from "./types.ts";

/** Time between two snapshots of the sums. */
const SNAPSHOT_MS = 250;
/** Snapshots that make up the recent window. */
const SNAPSHOTS = 8;

/** Counts of one version on one route. */
export interface ResponseCounts {
  answers: number;
  bad: number;
}

/** Own counts and those that other hosts report. */
export class VersionCounts {
  #own = new Map<string, { count: VersionCount & ResponseCounts }>();
  #peers = new Map<string, readonly VersionCount[]>();
  #zones = new Map<string, Map<string, VersionCount>>();
  #snapshots: Map<string, ResponseCounts>[] = [];
  #snapshotMs = -Infinity;

  /** Counts an answer that this host received. */
  recordResponse(
    { service, routeId, version }: Omit<VersionCount, "answers" | "bad">,
    bad: boolean,
  ): void {
    const key = keyOf(service, routeId, version);
    let entry = this.#own.get(key);
    if (entry === undefined) {
      entry = { count: { service, routeId, version, answers: 0, bad: 0 } };
      this.#own.set(key, entry);
    }
    entry.count.answers += 1;
    if (bad) entry.count.bad += 1;
  }

  /** Takes over the counts of another host's run. */
  setPeerCounts(run: string, counts: readonly VersionCount[]): void {
    this.#peers.set(run, counts);
  }

  /**
   * Takes over the sums of a zone. Counts only grow, so a smaller one comes
   * from an author that has not heard of all runs.
   */
  setZoneCounts(zone: string, counts: readonly VersionCount[]): void {
    const sums = this.#zones.get(zone) ?? new Map<string, VersionCount>();
    this.#zones.set(zone, sums);
    for (const count of counts) {
      const key = keyOf(count.service, count.routeId, count.version);
      const known = sums.get(key);
      sums.set(key, {
        ...count,
        answers: Math.max(count.answers, known?.answers ?? 0),
        bad: Math.max(count.bad, known?.bad ?? 0),
      });
    }
  }

  /** Sums over this host and the runs that report to it directly. */
  localAndPeerCounts(services: ReadonlySet<string>): VersionCount[] {
    const sums = new Map<string, VersionCount & ResponseCounts>();
    const add = (count: VersionCount) => {
      if (!services.has(count.service)) return;
      const key = keyOf(count.service, count.routeId, count.version);
      const sum = sums.get(key);
      if (sum === undefined) sums.set(key, { ...count });
      else {
        sum.answers += count.answers;
        sum.bad += count.bad;
      }
    };
    for (const { count } of this.#own.values()) add(count);
    for (const counts of this.#peers.values()) counts.forEach(add);
    return [...sums.values()];
  }

  /** Own counts of some services, for the other hosts. */
  localCounts(services: ReadonlySet<string>): VersionCount[] {
    return [...this.#own.values()]
      .map(({ count }) => ({ ...count }))
      .filter(({ service }) => services.has(service));
  }

  /** Keeps a snapshot when it is time. Called a few times a second. */
  update(nowMs: number): void {
    if (nowMs - this.#snapshotMs < SNAPSHOT_MS) return;
    this.#snapshotMs = nowMs;
    this.#snapshots.push(this.#sums());
    if (this.#snapshots.length > SNAPSHOTS + 1) this.#snapshots.shift();
  }

  /** Routes on which a version of a service has answered, with its counts. */
  countsByRoute(
    service: string,
    version: string,
    options: { recent?: boolean; except?: boolean } = {},
  ): Map<string, ResponseCounts> {
    const { recent = false, except = false } = options;
    const latest = this.#snapshots.at(-1) ?? new Map<string, ResponseCounts>();
    const base = recent ? this.#snapshots[0] : undefined;
    const result = new Map<string, ResponseCounts>();
    for (const [key, tally] of latest) {
      const [ofService, routeId, ofVersion] = key.split("\n");
      if (ofService !== service) continue;
      if ((ofVersion === version) === except) continue;
      const before = base?.get(key);
      const sum = result.get(routeId) ?? { answers: 0, bad: 0 };
      sum.answers += tally.answers - (before?.answers ?? 0);
      sum.bad += tally.bad - (before?.bad ?? 0);
      result.set(routeId, sum);
    }
    return result;
  }

  #sums(): Map<string, ResponseCounts> {
    const sums = new Map<string, ResponseCounts>();
    const add = (count: VersionCount) => {
      const key = keyOf(count.service, count.routeId, count.version);
      const sum = sums.get(key) ?? { answers: 0, bad: 0 };
      sum.answers += count.answers;
      sum.bad += count.bad;
      sums.set(key, sum);
    };
    for (const { count } of this.#own.values()) add(count);
    for (const counts of this.#peers.values()) counts.forEach(add);
    for (const counts of this.#zones.values()) counts.forEach(add);
    return sums;
  }
}

function keyOf(service: string, routeId: string, version: string): string {
  return `${service}\n${routeId}\n${version}`;
}
