/**
 * Health of one target from the ends of attempts on it.
 *
 * @module
 */
import type { AttemptOutcome } from "./types.ts";

/** Weight of one attempt in the failure ratio. */
const FAILURE_WEIGHT = 0.2;
/** Time in which a ratio falls to a half without attempts. */
const FORGET_HALF_MS = 3_000;
/** First and largest time without new work after a failed connection. */
const BACK_OFF_MS = 150;
const MAX_BACK_OFF_MS = 2_000;
/** Failed connections in a row after which the back-off stops growing. */
const MAX_BACK_OFF_EXPONENT = 6;

/** Failures of one target. */
export class TargetHealth {
  #ratio = 0;
  #notedMs = 0;
  #unreachable = 0;
  #blockedUntilMs = -Infinity;
  #answeredMs = -Infinity;
  #trialMs = -Infinity;

  /** When the target last answered anything; -Infinity if never. */
  get lastResponseMs(): number {
    return this.#answeredMs;
  }

  /** Part of the recent attempts that failed, from 0 to 1. */
  failureFraction(nowMs: number): number {
    return this.#ratio * 2 ** (-(nowMs - this.#notedMs) / FORGET_HALF_MS);
  }

  /** Whether the target could not be reached and waits for a trial. */
  isEjected(nowMs: number): boolean {
    if (this.#unreachable === 0) return false;
    return nowMs < this.#blockedUntilMs || nowMs < this.#trialMs;
  }

  /** Whether the next attempt is a trial after a failed connection. */
  get needsTrialAttempt(): boolean {
    return this.#unreachable > 0;
  }

  /** Notes the start of a trial, so that others wait for its end. */
  beginTrialAttempt(nowMs: number): void {
    this.#trialMs = nowMs + MAX_BACK_OFF_MS;
  }

  /** Notes the end of an attempt. */
  recordOutcome(outcome: AttemptOutcome, nowMs: number): void {
    switch (outcome) {
      case "cancelled":
        return;
      case "answered":
      case "shed":
      case "failed":
        this.#answeredMs = nowMs;
        this.#unreachable = 0;
        this.#trialMs = -Infinity;
        this.#add(outcome === "answered" ? 0 : 1, nowMs);
        return;
      case "unreachable":
        this.#backOff(nowMs);
        this.#add(1, nowMs);
        return;
      default:
        this.#add(1, nowMs);
    }
  }

  #backOff(nowMs: number): void {
    const exponent = Math.min(this.#unreachable, MAX_BACK_OFF_EXPONENT);
    this.#unreachable += 1;
    this.#trialMs = -Infinity;
    this.#blockedUntilMs = nowMs +
      Math.min(MAX_BACK_OFF_MS, BACK_OFF_MS * 2 ** exponent);
  }

  #add(failed: 0 | 1, nowMs: number): void {
    const ratio = this.failureFraction(nowMs);
    this.#ratio = ratio + FAILURE_WEIGHT * (failed - ratio);
    this.#notedMs = nowMs;
  }
}
