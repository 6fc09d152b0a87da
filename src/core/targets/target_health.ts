/**
 * Health of one target, judged by the outcomes of attempts on it. A target
 * that cannot be connected to is ejected for an exponential back-off, after
 * which a single trial attempt decides whether it is used again.
 *
 * @module
 */
import type { AttemptOutcome } from "./types.ts";

/** EWMA weight of one attempt in the failure fraction. */
const FAILURE_WEIGHT = 0.2;
/** Half-life of the failure fraction while there are no attempts. */
const FAILURE_HALF_LIFE_MS = 3_000;
/**
 * Back-off after the first failed connection; doubles with each further one.
 */
const INITIAL_BACK_OFF_MS = 150;
const MAX_BACK_OFF_MS = 2_000;
/** Failed connections in a row after which the back-off stops doubling. */
const MAX_BACK_OFF_EXPONENT = 6;

/** Failures and ejection of one target. */
export class TargetHealth {
  #failureFraction = 0;
  #failureUpdatedMs = 0;
  #failedConnections = 0;
  #backOffUntilMs = -Infinity;
  #lastResponseMs = -Infinity;
  #trialUntilMs = -Infinity;

  /** Time of the target's last response of any status; -Infinity if none. */
  get lastResponseMs(): number {
    return this.#lastResponseMs;
  }

  /** Fraction of the recent attempts that failed. */
  failureFraction(nowMs: number): number {
    return this.#failureFraction *
      2 ** (-(nowMs - this.#failureUpdatedMs) / FAILURE_HALF_LIFE_MS);
  }

  /** Whether the target is in back-off or waits for the end of a trial. */
  isEjected(nowMs: number): boolean {
    if (this.#failedConnections === 0) return false;
    return nowMs < this.#backOffUntilMs || nowMs < this.#trialUntilMs;
  }

  /** Whether the next attempt is a trial after a failed connection. */
  get needsTrialAttempt(): boolean {
    return this.#failedConnections > 0;
  }

  /**
   * Ejects the target for other requests until the trial attempt ends, but for
   * no longer than the largest back-off.
   */
  beginTrialAttempt(nowMs: number): void {
    this.#trialUntilMs = nowMs + MAX_BACK_OFF_MS;
  }

  /** Records a response that is neither a success nor a failure. */
  recordResponse(nowMs: number): void {
    this.#lastResponseMs = nowMs;
    this.#failedConnections = 0;
    this.#trialUntilMs = -Infinity;
  }

  /**
   * Forgets failures of a target to which connections failed, as this host could
   * not reach any target.
   */
  forgetFailedConnections(): void {
    if (this.#failedConnections === 0) return;
    this.#failedConnections = 0;
    this.#trialUntilMs = -Infinity;
    this.#failureFraction = 0;
  }

  /** Records the outcome of an attempt. */
  recordOutcome(outcome: AttemptOutcome, nowMs: number): void {
    switch (outcome) {
      case "cancelled":
        return;
      case "answered":
      case "shed":
      case "failed":
        this.recordResponse(nowMs);
        this.#updateFailureFraction(outcome === "answered" ? 0 : 1, nowMs);
        return;
      case "unreachable":
        this.#startBackOff(nowMs);
        this.#updateFailureFraction(1, nowMs);
        return;
      default:
        this.#updateFailureFraction(1, nowMs);
    }
  }

  #startBackOff(nowMs: number): void {
    const exponent = Math.min(this.#failedConnections, MAX_BACK_OFF_EXPONENT);
    this.#failedConnections += 1;
    this.#trialUntilMs = -Infinity;
    this.#backOffUntilMs = nowMs +
      Math.min(MAX_BACK_OFF_MS, INITIAL_BACK_OFF_MS * 2 ** exponent);
  }

  #updateFailureFraction(failure: 0 | 1, nowMs: number): void {
    const fraction = this.failureFraction(nowMs);
    this.#failureFraction = fraction + FAILURE_WEIGHT * (failure - fraction);
    this.#failureUpdatedMs = nowMs;
  }
}
