/**
 * Which requests crash targets. A target counts as dead when attempts on it
 * broke and it then refuses connections.
 *
 * @module
 */

/** Breaks that are older than this do not belong to a death. */
const DEATH_WINDOW_MS = 1_000;
/** Breaks that are seen this long after a death still belong to it. */
const LATE_BREAK_MS = 100;
const MARKS_TO_BLOCK = 2;
const FORGET_MS = 600_000;
/** Mark for a death that another host saw; it counts in full when repeated. */
const LEARNED_MARK = 0.1;
const MAX_RECORDS = 10_000;

interface Break {
  readonly fingerprint: string;
  readonly version: string;
  readonly atMs: number;
}

interface BrokenTarget {
  breaks: Break[];
  /** When the target refused a connection; undefined while it is not dead. */
  deadSinceMs: number | undefined;
}

interface MarkRecord {
  /** Mark of each target that died with the fingerprint in flight. */
  readonly marks: Map<string, number>;
  lastMs: number;
}

/** What a death says about the requests that were in flight. */
export interface CrashVerdict {
  /** Fingerprints that crash targets. */
  readonly blocked: readonly string[];
  /** Fingerprints that were in flight, for other hosts to know. */
  readonly suspected: readonly string[];
}

const NO_VERDICT: CrashVerdict = { blocked: [], suspected: [] };

/** Marks of request fingerprints. */
export class CrashAttribution {
  #targets = new Map<string, BrokenTarget>();
  #records = new Map<string, MarkRecord>();
  #answered = new RecentSet(MAX_RECORDS);

  /**
   * Notes that a target answered a request. A fingerprint that a version has
   * answered does not crash that version.
   */
  recordResponse(fingerprint: string, version: string): void {
    this.#answered.add(`${version} ${fingerprint}`);
    if (this.#records.size > 0) this.#records.delete(fingerprint);
  }

  /** Notes that a fingerprint was in flight at a death that another host saw. */
  recordReportedCrash(
    fingerprint: string,
    targetId: string,
    nowMs: number,
  ): void {
    this.#mark(fingerprint, { targetId, mark: LEARNED_MARK, nowMs });
  }

  /** Notes a broken attempt. */
  recordBrokenAttempt(
    targetId: string,
    request: { fingerprint: string; version: string },
    nowMs: number,
  ): CrashVerdict {
    const entry: Break = { ...request, atMs: nowMs };
    const target = this.#targets.get(targetId);
    const { deadSinceMs = -Infinity } = target ?? {};
    if (nowMs - deadSinceMs <= LATE_BREAK_MS) {
      return this.#judge(targetId, [entry], nowMs);
    }
    const breaks = (target?.breaks ?? []).filter(({ atMs }) =>
      nowMs - atMs <= DEATH_WINDOW_MS
    );
    breaks.push(entry);
    this.#targets.set(targetId, { breaks, deadSinceMs: undefined });
    return NO_VERDICT;
  }

  /** Notes that a target refused a connection. */
  recordRefusedConnection(targetId: string, nowMs: number): CrashVerdict {
    const target = this.#targets.get(targetId);
    if (target === undefined || target.breaks.length === 0) {
      return NO_VERDICT;
    }
    const breaks = target.breaks.filter(({ atMs }) =>
      nowMs - atMs <= DEATH_WINDOW_MS
    );
    this.#targets.set(targetId, { breaks: [], deadSinceMs: nowMs });
    return this.#judge(targetId, breaks, nowMs);
  }

  /**
   * The last target that died with a fingerprint in flight, or `undefined`
   * when the fingerprint is not suspected.
   */
  lastCrashedTarget(fingerprint: string, nowMs: number): string | undefined {
    if (this.#records.size === 0) return undefined;
    const record = this.#records.get(fingerprint);
    if (record === undefined || nowMs - record.lastMs > FORGET_MS) return;
    return [...record.marks.keys()].at(-1);
  }

  /** Marks of a fingerprint, for explanations. */
  suspicionScore(fingerprint: string): number {
    const marks = this.#records.get(fingerprint)?.marks.values() ?? [];
    return [...marks].reduce((sum, mark) => sum + mark, 0);
  }

  /** Marks the fingerprints that were in flight at a death. */
  #judge(targetId: string, breaks: Break[], nowMs: number): CrashVerdict {
    const inFlight = [
      ...new Set(
        breaks.filter(({ fingerprint, version }) =>
          !this.#answered.has(`${version} ${fingerprint}`)
        ).map(({ fingerprint }) => fingerprint),
      ),
    ];
    const repeated = inFlight.filter((fingerprint) =>
      this.#diedElsewhere(fingerprint, targetId, nowMs)
    );
    const others = inFlight.filter((one) => !repeated.includes(one));
    for (const one of others) {
      this.#mark(one, { targetId, mark: 1 / others.length, nowMs });
    }
    for (const one of repeated) {
      // Only the one request that was in flight at each death has full marks.
      const mark = 1 / repeated.length;
      if (repeated.length === 1) this.#raiseEarlierMarks(one);
      this.#mark(one, { targetId, mark, nowMs });
    }
    const blocked = repeated.filter((one) =>
      this.suspicionScore(one) >= MARKS_TO_BLOCK
    );
    return { blocked, suspected: inFlight };
  }

  #diedElsewhere(fingerprint: string, targetId: string, nowMs: number) {
    const record = this.#records.get(fingerprint);
    if (record === undefined || nowMs - record.lastMs > FORGET_MS) return false;
    return [...record.marks.keys()].some((id) => id !== targetId);
  }

  #raiseEarlierMarks(fingerprint: string): void {
    const record = this.#records.get(fingerprint);
    for (const id of record?.marks.keys() ?? []) record?.marks.set(id, 1);
  }

  #mark(
    fingerprint: string,
    { targetId, mark, nowMs }: {
      targetId: string;
      mark: number;
      nowMs: number;
    },
  ): void {
    const known = this.#records.get(fingerprint);
    const fresh = known !== undefined && nowMs - known.lastMs <= FORGET_MS;
    const record = fresh ? known : { marks: new Map(), lastMs: nowMs };
    record.marks.set(targetId, Math.max(record.marks.get(targetId) ?? 0, mark));
    record.lastMs = nowMs;
    this.#records.delete(fingerprint);
    this.#records.set(fingerprint, record);
    if (this.#records.size <= MAX_RECORDS) return;
    for (const oldest of this.#records.keys()) {
      this.#records.delete(oldest);
      return;
    }
  }
}

/** A set that forgets its older half when it is full. */
class RecentSet {
  #newer = new Set<string>();
  #older = new Set<string>();
  #limit: number;

  constructor(limit: number) {
    this.#limit = limit;
  }

  has(value: string): boolean {
    return this.#newer.has(value) || this.#older.has(value);
  }

  add(value: string): void {
    if (this.#newer.has(value)) return;
    this.#newer.add(value);
    if (this.#newer.size < this.#limit / 2) return;
    this.#older = this.#newer;
    this.#newer = new Set();
  }
}
