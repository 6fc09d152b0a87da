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
/** Attempts that break within this time after a crash still belong to it. */
const LATE_BREAK_MS = 100;
/** Suspicion score from which a fingerprint is blocked. */
const BLOCK_SCORE = 2;
/** Time without a further crash after which a suspicion is dropped. */
const SUSPICION_TTL_MS = 600_000;
/**
 * Score of a crash that another host reported. It is raised to 1 if this host
 * observes a crash of another target, and no other fingerprint in flight there
 * is suspected of earlier crashes.
 */
const REPORTED_CRASH_SCORE = 0.1;
/**
 * Maximum size of the table and of the set of fingerprints, to bound memory.
 */
const MAX_FINGERPRINTS = 10_000;

interface BrokenAttempt {
  readonly fingerprint: string;
  readonly version: string;
  readonly brokenMs: number;
}

/** Recent broken attempts on a target, and its last crash. */
interface TargetCrashState {
  brokenAttempts: BrokenAttempt[];
  /** Time of the crash; undefined while the target has not crashed. */
  crashedMs: number | undefined;
}

interface Suspicion {
  /** Score for each target that crashed with the fingerprint in flight. */
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
  #targets = new Map<string, TargetCrashState>();
  /** Suspicions by fingerprint, the latest last. */
  #suspicions = new Map<string, Suspicion>();
  /** Versions, each with a fingerprint that it has responded to. */
  #respondedFingerprints = new RecentSet(MAX_FINGERPRINTS);

  /**
   * Records that a target of a version responded to a request. This clears the
   * suspicion of the fingerprint, which is not suspected of later crashes of
   * that version.
   */
  recordResponse(fingerprint: string, version: string): void {
    this.#respondedFingerprints.add(`${version} ${fingerprint}`);
    if (this.#suspicions.size > 0) this.#suspicions.delete(fingerprint);
  }

  /**
   * Records a crash with a fingerprint in flight that another host reported.
   *
   * @param options `ageMs` is the time since the crash. Default: 0.
   */
  recordReportedCrash(
    fingerprint: string,
    { targetId, ageMs = 0 }: { targetId: string; ageMs?: number },
    nowMs: number,
  ): void {
    this.#addScore(fingerprint, {
      targetId,
      score: REPORTED_CRASH_SCORE,
      atMs: nowMs - ageMs,
    });
  }

  /** Records an attempt whose connection to the target broke. */
  recordBrokenAttempt(
    targetId: string,
    request: { fingerprint: string; version: string },
    nowMs: number,
  ): CrashVerdict {
    const attempt: BrokenAttempt = { ...request, brokenMs: nowMs };
    const target = this.#targets.get(targetId);
    const { crashedMs = -Infinity } = target ?? {};
    if (nowMs - crashedMs <= LATE_BREAK_MS) {
      return this.#attributeCrash(targetId, [attempt], nowMs);
    }
    const brokenAttempts = target?.brokenAttempts ?? [];
    const firstRecent = brokenAttempts.findIndex(({ brokenMs }) =>
      nowMs - brokenMs <= CRASH_WINDOW_MS
    );
    // A copy with each attempt would take time with the square of their number.
    brokenAttempts.splice(
      0,
      firstRecent < 0 ? brokenAttempts.length : firstRecent,
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
    const brokenAttempts = target.brokenAttempts.filter(({ brokenMs }) =>
      nowMs - brokenMs <= CRASH_WINDOW_MS
    );
    this.#targets.set(targetId, { brokenAttempts: [], crashedMs: nowMs });
    return this.#attributeCrash(targetId, brokenAttempts, nowMs);
  }

  /** Returns the suspicion score of a fingerprint over all targets. */
  suspicionScore(fingerprint: string): number {
    const scores = this.#suspicions.get(fingerprint)?.scoreByTarget.values() ??
      [];
    return [...scores].reduce((sum, score) => sum + score, 0);
  }

  /**
   * Adds the scores of a crash to the fingerprints that were in flight: a score
   * of 1 is divided among those that were also in flight when another target
   * crashed, and another score of 1 among the others.
   */
  #attributeCrash(
    targetId: string,
    brokenAttempts: BrokenAttempt[],
    nowMs: number,
  ): CrashVerdict {
    const inFlight = [
      ...new Set(
        brokenAttempts.filter(({ fingerprint, version }) =>
          !this.#respondedFingerprints.has(`${version} ${fingerprint}`)
        ).map(({ fingerprint }) => fingerprint),
      ),
    ];
    const suspectedElsewhere = inFlight.filter((fingerprint) =>
      this.#isSuspectedElsewhere(fingerprint, targetId, nowMs)
    );
    const isSuspectedElsewhere = new Set(suspectedElsewhere);
    const newlySuspected = inFlight.filter((fingerprint) =>
      !isSuspectedElsewhere.has(fingerprint)
    );
    for (const fingerprint of newlySuspected) {
      this.#addScore(fingerprint, {
        targetId,
        score: 1 / newlySuspected.length,
        atMs: nowMs,
      });
    }
    for (const fingerprint of suspectedElsewhere) {
      // If only one fingerprint was also in flight at other crashes, it is
      // their likely cause, so these count in full.
      const score = 1 / suspectedElsewhere.length;
      if (suspectedElsewhere.length === 1) {
        this.#raiseEarlierScores(fingerprint);
      }
      this.#addScore(fingerprint, { targetId, score, atMs: nowMs });
    }
    const blocked = suspectedElsewhere.filter((fingerprint) =>
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
    { targetId, score, atMs }: {
      targetId: string;
      score: number;
      /** Time of the crash. */
      atMs: number;
    },
  ): void {
    const existing = this.#suspicions.get(fingerprint);
    const isCurrent = existing !== undefined &&
      atMs - existing.lastCrashMs <= SUSPICION_TTL_MS;
    const suspicion = isCurrent
      ? existing
      : { scoreByTarget: new Map(), lastCrashMs: atMs };
    suspicion.scoreByTarget.set(
      targetId,
      Math.max(suspicion.scoreByTarget.get(targetId) ?? 0, score),
    );
    suspicion.lastCrashMs = Math.max(suspicion.lastCrashMs, atMs);
    this.#suspicions.delete(fingerprint);
    this.#suspicions.set(fingerprint, suspicion);
    if (this.#suspicions.size <= MAX_FINGERPRINTS) return;
    for (const oldestFingerprint of this.#suspicions.keys()) {
      this.#suspicions.delete(oldestFingerprint);
      return;
    }
  }
}

/** A bounded set that discards its older half when it is full. */
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
