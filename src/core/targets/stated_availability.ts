/**
 * What a target states of its availability in its responses: that it is
 * leaving, or that it wants no requests from this host for a time.
 *
 * The statement that a target leaves holds until its next start. After the time
 * without requests, the target gets one attempt at a time until one of them is
 * answered, so that the hosts do not return to it all at once.
 *
 * @module
 */
import type { AttemptOutcome } from "./types.ts";

/**
 * Longest time without requests that is believed. A target that states more, by
 * a fault, gets one attempt after this time.
 */
const MAX_REFUSAL_MS = 300_000;
/** Upper bound of the random time that is added to the stated one. */
const MAX_RETURN_SPREAD_MS = 1_000;
/** The same bound as a fraction of the stated time. */
const RETURN_SPREAD_FRACTION = 0.25;
/** Time after which an attempt that has not ended permits the next one. */
const RETURN_ATTEMPT_TIMEOUT_MS = 2_000;

/** What one response states. */
export interface AvailabilityStatement {
  /** Whether the target is leaving. */
  readonly isLeaving: boolean;
  /** Time for which it wants no requests from this host; 0 if not stated. */
  readonly refusesForMs: number;
}

/** Availability of one instance of a target, by its own statements. */
export class StatedAvailability {
  #isLeaving = false;
  #refusesUntilMs = -Infinity;
  /** Whether the target gets one attempt at a time. */
  #isReturning = false;
  #attemptUntilMs = -Infinity;

  /** Whether the target has stated that it is leaving. */
  get isLeaving(): boolean {
    return this.#isLeaving;
  }

  /** Whether the target wants no requests at present. */
  isRefusing(nowMs: number): boolean {
    return nowMs < this.#refusesUntilMs;
  }

  /** Records that the target has told any host that it is leaving. */
  recordLeaving(): void {
    this.#isLeaving = true;
  }

  /**
   * Records a statement to this host.
   *
   * @param spread Number from 0 to 1 that differs between hosts.
   */
  recordStatement(
    { isLeaving, refusesForMs }: AvailabilityStatement,
    spread: number,
    nowMs: number,
  ): void {
    if (isLeaving) this.#isLeaving = true;
    if (refusesForMs <= 0) return;
    const boundedMs = Math.min(refusesForMs, MAX_REFUSAL_MS);
    const spreadMs = spread *
      Math.min(MAX_RETURN_SPREAD_MS, RETURN_SPREAD_FRACTION * boundedMs);
    // An earlier statement stays in force to its end.
    this.#refusesUntilMs = Math.max(
      this.#refusesUntilMs,
      nowMs + boundedMs + spreadMs,
    );
    this.#isReturning = true;
    this.#attemptUntilMs = -Infinity;
  }

  /** Records the start of an attempt. */
  recordStart(nowMs: number): void {
    if (this.#isReturning) {
      this.#attemptUntilMs = nowMs + RETURN_ATTEMPT_TIMEOUT_MS;
    }
  }

  /** Records the end of an attempt. */
  recordEnd(outcome: AttemptOutcome, nowMs: number): void {
    if (!this.#isReturning || this.isRefusing(nowMs)) return;
    this.#attemptUntilMs = -Infinity;
    if (outcome === "answered") this.#isReturning = false;
  }

  /**
   * Returns the time until the target may receive a request, in milliseconds; 0
   * if it may now, and Infinity if it is leaving.
   */
  delayMs(nowMs: number): number {
    if (this.#isLeaving) return Infinity;
    return Math.max(
      0,
      this.#refusesUntilMs - nowMs,
      this.#attemptUntilMs - nowMs,
    );
  }
}
