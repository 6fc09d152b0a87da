/**
 * Counts of all processes of the fleet, as their reports and those of their
 * zones state them. Counts stay encoded until they are needed.
 *
 * @module
 */
import type { ProcessUsage, WindowUsage } from "./types.ts";

/** Authors of zone reports that are kept for each zone. */
const MAX_ZONE_AUTHORS = 4;

interface EncodedCounts {
  readonly bytes: Uint8Array;
  readonly receivedMs: number;
}

/** Options of a `UsageCollector`. */
export interface UsageCollectorOptions {
  /** Decodes counts; returns an empty list for malformed ones. */
  readonly decode: (bytes: Uint8Array) => readonly ProcessUsage[];
  /** Time for which the last counts of a silent process are kept. */
  readonly keptMs: number;
}

/** Keeps the last counts of each process and adds them up. */
export class UsageCollector {
  readonly #options: UsageCollectorOptions;
  /** Last counts by process, among them processes that have ended. */
  readonly #processes = new Map<string, EncodedCounts>();
  /** Last zone reports by zone and author. */
  readonly #zones = new Map<string, Map<string, EncodedCounts>>();

  constructor(options: UsageCollectorOptions) {
    this.#options = options;
  }

  /** Records the counts that a process reports of itself. */
  recordProcess(
    { hostId, startedMs }: { hostId: string; startedMs: number },
    bytes: Uint8Array,
    nowMs: number,
  ): void {
    const counts = { bytes, receivedMs: nowMs };
    this.#processes.set(`${hostId} ${startedMs}`, counts);
  }

  /**
   * Records the counts of another zone. Reports of earlier authors are kept, as
   * a new author may not know the counts of processes that have ended.
   */
  recordZone(
    zone: string,
    author: { hostId: string; startedMs: number },
    { bytes, nowMs }: { bytes: Uint8Array; nowMs: number },
  ): void {
    const authors = this.#zones.get(zone) ?? new Map<string, EncodedCounts>();
    this.#zones.set(zone, authors);
    const key = `${author.hostId} ${author.startedMs}`;
    authors.delete(key);
    authors.set(key, { bytes, receivedMs: nowMs });
    for (const oldest of authors.keys()) {
      if (authors.size <= MAX_ZONE_AUTHORS) break;
      authors.delete(oldest);
    }
  }

  /** Drops what is too old to be needed. */
  prune(nowMs: number): void {
    for (const counts of [this.#processes, ...this.#zones.values()]) {
      for (const [key, { receivedMs }] of counts) {
        if (nowMs - receivedMs >= this.#options.keptMs) counts.delete(key);
      }
    }
    for (const [zone, authors] of this.#zones) {
      if (authors.size === 0) this.#zones.delete(zone);
    }
  }

  /** Last counts of the processes that reported to this host directly. */
  directCounts(): ProcessUsage[] {
    return [...this.#processes.values()].flatMap(({ bytes }) =>
      this.#options.decode(bytes)
    );
  }

  /**
   * Adds up the counts of a window over all processes.
   *
   * @param own Counts of this process.
   */
  sumWindow(windowNumber: number, own: ProcessUsage): WindowUsage {
    const newest = new Map<string, ProcessUsage>();
    const zoneCounts = [...this.#zones.values()]
      .flatMap((authors) => [...authors.values()])
      .flatMap(({ bytes }) => this.#options.decode(bytes));
    for (const usage of [own, ...this.directCounts(), ...zoneCounts]) {
      const key = `${usage.hostId} ${usage.startedMs}`;
      const known = newest.get(key);
      if (known !== undefined && known.sequence >= usage.sequence) continue;
      newest.set(key, usage);
    }
    const sums = new Map<string, number>();
    for (const { windows } of newest.values()) {
      const requests = windows.find((window) =>
        window.windowNumber === windowNumber
      )?.requestsByOrganisation ?? [];
      for (const [id, count] of requests) {
        sums.set(id, (sums.get(id) ?? 0) + count);
      }
    }
    return { windowNumber, requestsByOrganisation: sums };
  }
}
