/**
 * Crash attribution: finds the requests that crash targets, so that they are
 * blocked before they crash further ones.
 *
 * A target is considered crashed when attempts on it broke and it then refuses
 * a connection. Each crash adds to the suspicion score of the requests that
 * were in flight, identified by their fingerprints.
 *
 * @module
 */

/** Broken attempts older than this are not related to a crash. */
const CRASH_WINDOW_MS = 1_000;
/** Attempts that break this long after a crash still belong to it. */
const LATE_BREAK_MS = 100;
/** Suspicion score from which a fingerprint is blocked. */
const BLOCK_SCORE = 2;
/** Time without a further crash after which a suspicion is dropped. */
const SUSPICION_TTL_MS = 600_000;
/**
 * Score of a crash that another host reported. It is raised to 1 if the
 * fingerprint is the only repeated one in a crash that this host observes.
 */
const REPORTED_CRASH_SCORE = 0.1;
/** Most fingerprints that are remembered, to bound the memory. */
const MAX_FINGERPRINTS = 10_000;

interface BrokenAttempt {
  readonly fingerprint: string;
  readonly version: string;
  readonly atMs: number;
}

interface BrokenTarget {
  brokenAttempts: BrokenAttempt[];
  /** Time of the crash; undefined while the target has not crashed. */
  crashedMs: number | undefined;
}

interface Suspicion {
  /** Score by target that crashed with the fingerprint in flight. */
  readonly scoreByTarget: Map<string, number>;
  lastCrashMs: number;
}

/** Result of the attribution of one crash. */
export interface CrashVerdict {
  /** Fingerprints that are to be blocked. */
  readonly blocked: readonly string[];
  /** Fingerprints that were in flight, to be reported to other hosts. */
  readonly suspected: readonly string[];
}

const NO_VERDICT: CrashVerdict = { blocked: [], suspected: [] };

/** Attributes crashes of targets to request fingerprints. */
export class CrashAttribution {
  #targets = new Map<string, BrokenTarget>();
  #suspicions = new Map<string, Suspicion>();
  #versionResponses = new RecentSet(MAX_FINGERPRINTS);

  /**
   * Records that a target of a version responded to a request. This clears the
   * suspicion of the fingerprint, and it is not suspected at later crashes of
   * that version.
   */
  recordResponse(fingerprint: string, version: string): void {
    this.#versionResponses.add(`${version} ${fingerprint}`);
    if (this.#suspicions.size > 0) this.#suspicions.delete(fingerprint);
  }

  /** Records a crash with a fingerprint in flight that another host reported. */
  recordReportedCrash(
    fingerprint: string,
    targetId: string,
    nowMs: number,
  ): void {
    this.#addScore(fingerprint, {
      targetId,
      score: REPORTED_CRASH_SCORE,
      nowMs,
    });
  }

  /** Records an attempt whose connection to the target broke. */
  recordBrokenAttempt(
    targetId: string,
    request: { fingerprint: string; version: string },
    nowMs: number,
  ): CrashVerdict {
    const attempt: BrokenAttempt = { ...request, atMs: nowMs };
    const target = this.#targets.get(targetId);
    const { crashedMs = -Infinity } = target ?? {};
    if (nowMs - crashedMs <= LATE_BREAK_MS) {
      return this.#attributeCrash(targetId, [attempt], nowMs);
    }
    const brokenAttempts = (target?.brokenAttempts ?? []).filter(({ atMs }) =>
      nowMs - atMs <= CRASH_WINDOW_MS
    );
    brokenAttempts.push(attempt);
    this.#targets.set(targetId, { brokenAttempts, crashedMs: undefined });
    return NO_VERDICT;
  }

  /**
   * Records that a target refused a connection, which completes a crash if
   * attempts on it have just broken.
   */
  recordRefusedConnection(targetId: string, nowMs: number): CrashVerdict {
    const target = this.#targets.get(targetId);
    if (target === undefined || target.brokenAttempts.length === 0) {
      return NO_VERDICT;
    }
    const brokenAttempts = target.brokenAttempts.filter(({ atMs }) =>
      nowMs - atMs <= CRASH_WINDOW_MS
    );
    this.#targets.set(targetId, { brokenAttempts: [], crashedMs: nowMs });
    return this.#attributeCrash(targetId, brokenAttempts, nowMs);
  }

  /**
   * Returns the last target that crashed with a fingerprint in flight, or
   * `undefined` if the fingerprint is not suspected.
   */
  lastCrashedTarget(fingerprint: string, nowMs: number): string | undefined {
    if (this.#suspicions.size === 0) return undefined;
    const suspicion = this.#suspicions.get(fingerprint);
    if (
      suspicion === undefined ||
      nowMs - suspicion.lastCrashMs > SUSPICION_TTL_MS
    ) return;
    return [...suspicion.scoreByTarget.keys()].at(-1);
  }

  /** Returns the suspicion score of a fingerprint over all targets. */
  suspicionScore(fingerprint: string): number {
    const scores = this.#suspicions.get(fingerprint)?.scoreByTarget.values() ??
      [];
    return [...scores].reduce((sum, score) => sum + score, 0);
  }

  /**
   * Divides the score of a crash among the fingerprints that were in flight: a
   * score of 1 among those that were also in flight when another target
   * crashed, and a score of 1 among all others.
   */
  #attributeCrash(
    targetId: string,
    brokenAttempts: BrokenAttempt[],
    nowMs: number,
  ): CrashVerdict {
    const inFlight = [
      ...new Set(
        brokenAttempts.filter(({ fingerprint, version }) =>
          !this.#versionResponses.has(`${version} ${fingerprint}`)
        ).map(({ fingerprint }) => fingerprint),
      ),
    ];
    const repeated = inFlight.filter((fingerprint) =>
      this.#isSuspectedElsewhere(fingerprint, targetId, nowMs)
    );
    const newlySuspected = inFlight.filter((fingerprint) =>
      !repeated.includes(fingerprint)
    );
    for (const fingerprint of newlySuspected) {
      this.#addScore(fingerprint, {
        targetId,
        score: 1 / newlySuspected.length,
        nowMs,
      });
    }
    for (const fingerprint of repeated) {
      // A single repeated fingerprint is the likely cause of the earlier crashes
      // too, so these count in full.
      const score = 1 / repeated.length;
      if (repeated.length === 1) this.#raiseEarlierScores(fingerprint);
      this.#addScore(fingerprint, { targetId, score, nowMs });
    }
    const blocked = repeated.filter((fingerprint) =>
      this.suspicionScore(fingerprint) >= BLOCK_SCORE
    );
    return { blocked, suspected: inFlight };
  }

  #isSuspectedElsewhere(
    fingerprint: string,
    targetId: string,
    nowMs: number,
  ) {
    const suspicion = this.#suspicions.get(fingerprint);
    if (
      suspicion === undefined ||
      nowMs - suspicion.lastCrashMs > SUSPICION_TTL_MS
    ) return false;
    return [...suspicion.scoreByTarget.keys()].some((id) => id !== targetId);
  }

  #raiseEarlierScores(fingerprint: string): void {
    const suspicion = this.#suspicions.get(fingerprint);
    for (const id of suspicion?.scoreByTarget.keys() ?? []) {
      suspicion?.scoreByTarget.set(id, 1);
    }
  }

  #addScore(
    fingerprint: string,
    { targetId, score, nowMs }: {
      targetId: string;
      score: number;
      nowMs: number;
    },
  ): void {
    const existing = this.#suspicions.get(fingerprint);
    const isCurrent = existing !== undefined &&
      nowMs - existing.lastCrashMs <= SUSPICION_TTL_MS;
    const suspicion = isCurrent
      ? existing
      : { scoreByTarget: new Map(), lastCrashMs: nowMs };
    suspicion.scoreByTarget.set(
      targetId,
      Math.max(suspicion.scoreByTarget.get(targetId) ?? 0, score),
    );
    suspicion.lastCrashMs = nowMs;
    this.#suspicions.delete(fingerprint);
    this.#suspicions.set(fingerprint, suspicion);
    if (this.#suspicions.size <= MAX_FINGERPRINTS) return;
    for (const oldestFingerprint of this.#suspicions.keys()) {
      this.#suspicions.delete(oldestFingerprint);
      return;
    }
  }
}

/** A bounded set that drops its older half when it is full. */
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
