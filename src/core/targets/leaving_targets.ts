/**
 * Instances of targets that have stated that they are leaving, as this host and
 * the others know them.
 *
 * The store may list such a target as ready for some time, or again after a
 * restore, and a host that restarts has not received the statement itself. Hosts
 * therefore report these instances to each other.
 *
 * @module
 */

/** Time for which an instance is reported after it became known. */
const REPORT_MS = 3_000;
/**
 * Time for which an instance is remembered that the store no longer lists; far
 * longer than the age of a copy from which the store is restored.
 */
const MEMORY_MS = 600_000;
/** Instances that are remembered, to bound memory. */
const MAX_INSTANCES = 4_096;

/** One instance of a target: a new start is another instance. */
export interface TargetInstance {
  readonly targetId: string;
  /** Unix time of the start in milliseconds. */
  readonly startedMs: number;
}

interface LeavingInstance {
  readonly instance: TargetInstance;
  recordedMs: number;
  reportUntilMs: number;
}

/** Remembers the instances that are leaving. */
export class LeavingTargets {
  readonly #byKey = new Map<string, LeavingInstance>();

  /** Records an instance. Returns whether it was new. */
  record(instance: TargetInstance, nowMs: number): boolean {
    const key = createKey(instance);
    const known = this.#byKey.get(key);
    if (known !== undefined) {
      known.recordedMs = nowMs;
      return false;
    }
    this.#byKey.set(key, {
      instance,
      recordedMs: nowMs,
      reportUntilMs: nowMs + REPORT_MS,
    });
    if (this.#byKey.size > MAX_INSTANCES) {
      const [oldestKey] = this.#byKey.keys();
      this.#byKey.delete(oldestKey);
    }
    return true;
  }

  /** Whether an instance has stated that it is leaving. */
  has(instance: TargetInstance): boolean {
    return this.#byKey.has(createKey(instance));
  }

  /** Reports all instances again, as another host has lost its state. */
  repeatReports(nowMs: number): void {
    for (const leaving of this.#byKey.values()) {
      leaving.reportUntilMs = nowMs + REPORT_MS;
    }
  }

  /**
   * Returns the instances that this host reports to the others.
   *
   * @param isNeeded Whether the store lists an instance as ready, so that the
   * other hosts cannot know from there that it leaves.
   */
  createReport(
    isNeeded: (instance: TargetInstance) => boolean,
    nowMs: number,
  ): TargetInstance[] {
    const reported: TargetInstance[] = [];
    for (const [key, leaving] of this.#byKey) {
      const { instance, recordedMs, reportUntilMs } = leaving;
      const isListed = isNeeded(instance);
      if (isListed) leaving.recordedMs = nowMs;
      else if (nowMs - recordedMs > MEMORY_MS) this.#byKey.delete(key);
      if (isListed && nowMs < reportUntilMs) reported.push(instance);
    }
    return reported;
  }
}

function createKey({ targetId, startedMs }: TargetInstance): string {
  return `${targetId} ${startedMs}`;
}
