/**
 * Blocked requests, and requests that were in flight at crashes, as this host
 * and the others know them.
 *
 * Only the hosts remember them, so a host that starts, is added or was cut off
 * learns of them from the reports of the others. Each report holds what became
 * known recently and, in turn, a few of the others.
 *
 * @module
 */
import { Rotation } from "../membership/rotation.ts";

/** Time for which a crash or block counts as recent after it became known. */
const RECENT_MS = 5_000;
/**
 * Time for which more of the others are reported after a process has started,
 * or a host has missed reports.
 */
const REPEAT_MS = 3_000;
/**
 * Time for which a request is blocked. It may crash two targets again after it,
 * unless these have been repaired.
 */
const BLOCK_MS = 3_600_000;
/** Time for which a crash counts; see SUSPICION_TTL_MS of the attribution. */
const CRASH_MS = 600_000;
/**
 * Time that must be left of what another host reports. Hosts forget an entry at
 * slightly different times and would learn of it again.
 */
const MIN_REMAINING_MS = 10_000;
/** Crashes, and blocks, that are remembered, to bound memory. */
const MAX_ENTRIES = 1_024;
/** Recent crashes and blocks in a report; 192 of them take about 12 KB. */
const MAX_RECENT = 192;
/** Remembered crashes, and blocks, in a report while they are repeated. */
const MAX_REPEATED = 64;
/** Remembered crashes, and blocks, in a report at other times. */
const MAX_IN_TURN = 4;

/** Fingerprint of a request that was in flight when a target crashed. */
export interface CrashReport {
  readonly fingerprint: string;
  /** Id of the target; "" reports that the fingerprint is blocked. */
  readonly targetId: string;
  /** Time since the crash or the block. */
  readonly ageMs: number;
}

interface Entry {
  readonly fingerprint: string;
  readonly targetId: string;
  /** Time of the crash or the block. */
  readonly atMs: number;
  /** Time at which this host learned of it, if it was recent then. */
  readonly learnedMs: number;
}

/** Entries of one kind, the one that became known last at the end. */
class Entries {
  readonly #byKey = new Map<string, Entry>();
  readonly #lifetimeMs: number;
  /** Choose the entries of reports. */
  readonly recentRotation = new Rotation();
  readonly rememberedRotation = new Rotation();

  constructor(lifetimeMs: number) {
    this.#lifetimeMs = lifetimeMs;
  }

  get isEmpty(): boolean {
    return this.#byKey.size === 0;
  }

  /** Whether there is an entry that has not expired. */
  has(key: string, nowMs: number): boolean {
    const entry = this.#byKey.get(key);
    return entry !== undefined && nowMs - entry.atMs < this.#lifetimeMs;
  }

  /** Whether an entry of an age is worth to be learned from another host. */
  isLearnable(ageMs: number): boolean {
    return ageMs < this.#lifetimeMs - MIN_REMAINING_MS;
  }

  put(key: string, entry: Entry): void {
    this.#byKey.delete(key);
    this.#byKey.set(key, entry);
    if (this.#byKey.size <= MAX_ENTRIES) return;
    const [oldestKey] = this.#byKey.keys();
    this.#byKey.delete(oldestKey);
  }

  /** Removes and returns the entries that have expired. */
  drainExpired(nowMs: number): Entry[] {
    const expired: Entry[] = [];
    for (const [key, entry] of this.#byKey) {
      if (nowMs - entry.atMs < this.#lifetimeMs) continue;
      this.#byKey.delete(key);
      expired.push(entry);
    }
    return expired;
  }

  /** Divides the entries by whether this host learned of them recently. */
  divide(nowMs: number): { recent: Entry[]; remembered: Entry[] } {
    const recent: Entry[] = [];
    const remembered: Entry[] = [];
    for (const entry of this.#byKey.values()) {
      const isRecent = nowMs - entry.learnedMs < RECENT_MS;
      (isRecent ? recent : remembered).push(entry);
    }
    return { recent, remembered };
  }
}

/** Remembers crashes and blocked fingerprints, and reports them. */
export class CrashMemory {
  readonly #blocks = new Entries(BLOCK_MS);
  readonly #crashes = new Entries(CRASH_MS);
  #repeatUntilMs = -Infinity;

  /**
   * Records a crash or a block that this host observed. Returns whether it was
   * new to this host.
   */
  record(
    fingerprint: string,
    { targetId, nowMs }: { targetId: string; nowMs: number },
  ): boolean {
    const key = createKey(fingerprint, targetId);
    const entries = this.#entriesOf(targetId);
    const isNew = !entries.has(key, nowMs);
    entries.put(key, { fingerprint, targetId, atMs: nowMs, learnedMs: nowMs });
    return isNew;
  }

  /**
   * Records what another host reports. What is known keeps its time, as the
   * transfer adds to the age. Returns whether it was new to this host.
   */
  recordReport(
    { fingerprint, targetId, ageMs }: CrashReport,
    nowMs: number,
  ): boolean {
    const key = createKey(fingerprint, targetId);
    const entries = this.#entriesOf(targetId);
    if (entries.has(key, nowMs) || !entries.isLearnable(ageMs)) return false;
    const atMs = nowMs - Math.max(0, ageMs);
    const learnedMs = ageMs < RECENT_MS ? nowMs : atMs;
    entries.put(key, { fingerprint, targetId, atMs, learnedMs });
    return true;
  }

  /** Whether requests with this fingerprint are blocked. */
  isBlocked(fingerprint: string, nowMs: number): boolean {
    return this.#blocks.has(createKey(fingerprint, ""), nowMs);
  }

  /** Whether there is nothing to report. */
  get isEmpty(): boolean {
    return this.#blocks.isEmpty && this.#crashes.isEmpty;
  }

  /** Reports more of what is remembered, as another host may lack it. */
  repeatReports(nowMs: number): void {
    this.#repeatUntilMs = nowMs + REPEAT_MS;
  }

  /** Forgets what is too old. Returns what is no longer blocked. */
  dropExpired(nowMs: number): string[] {
    this.#crashes.drainExpired(nowMs);
    return this.#blocks.drainExpired(nowMs)
      .map(({ fingerprint }) => fingerprint);
  }

  /**
   * Returns what this host reports to the others; blocks take precedence.
   *
   * @param isSuspected Whether a fingerprint is still suspected of crashes. A
   * crash is reported only while it is recent otherwise.
   */
  createReport(
    isSuspected: (fingerprint: string) => boolean,
    nowMs: number,
  ): { recent: CrashReport[]; remembered: CrashReport[] } {
    const blocks = this.#blocks.divide(nowMs);
    const crashes = this.#crashes.divide(nowMs);
    const suspected = crashes.remembered
      .filter(({ fingerprint }) => isSuspected(fingerprint));
    const maxRemembered = nowMs < this.#repeatUntilMs
      ? MAX_REPEATED
      : MAX_IN_TURN;
    const recentBlocks = this.#blocks.recentRotation
      .take(blocks.recent, MAX_RECENT);
    const toReport = ({ fingerprint, targetId, atMs }: Entry): CrashReport => ({
      fingerprint,
      targetId,
      ageMs: nowMs - atMs,
    });
    return {
      recent: [
        ...recentBlocks,
        ...this.#crashes.recentRotation
          .take(crashes.recent, MAX_RECENT - recentBlocks.length),
      ].map(toReport),
      remembered: [
        ...this.#blocks.rememberedRotation
          .take(blocks.remembered, maxRemembered),
        ...this.#crashes.rememberedRotation.take(suspected, maxRemembered),
      ].map(toReport),
    };
  }

  #entriesOf(targetId: string): Entries {
    return targetId === "" ? this.#blocks : this.#crashes;
  }
}

function createKey(fingerprint: string, targetId: string): string {
  return `${targetId} ${fingerprint}`;
}
