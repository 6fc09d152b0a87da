/**
 * Retry budget: limits the retries to the targets of a service, so that in any
 * window the retries of all hosts together stay within a ratio of the requests.
 *
 * @module
 */

/** Slices into which the sliding window is divided for counting. */
const SLICES = 20;

/** Limit on the retries of all hosts together. */
export interface RetryBounds {
  /** Retries allowed per request. */
  readonly ratio: number;
  /** Retries allowed in each window in addition to the ratio. */
  readonly slack: number;
  /** Length of the window. */
  readonly windowMs: number;
}

/**
 * Fraction of the limit that is used. The remainder covers requests at the
 * edges of windows and hosts that restart within a window.
 */
const USED_FRACTION = 0.75;

/** Budget of one host for retries to the targets of one service. */
export class RetryBudget {
  #requests = new Float64Array(SLICES);
  #retries = new Float64Array(SLICES);
  #sliceIndex = 0;
  #sliceStartMs = -Infinity;

  /** Counts a request to the service. */
  recordRequest(bounds: RetryBounds, nowMs: number): void {
    this.#advance(bounds, nowMs);
    this.#requests[this.#sliceIndex] += 1;
  }

  /**
   * Counts a retry if the budget allows it.
   *
   * @param hostCount Hosts that share the slack, including this one.
   * @returns Whether the retry may be sent.
   */
  takeToken(bounds: RetryBounds, hostCount: number, nowMs: number): boolean {
    this.#advance(bounds, nowMs);
    const maxRetries = bounds.ratio * sum(this.#requests) +
      bounds.slack / Math.max(1, hostCount);
    if (sum(this.#retries) + 1 > USED_FRACTION * maxRetries) return false;
    this.#retries[this.#sliceIndex] += 1;
    return true;
  }

  /** Moves the window to the present and clears the slices that it enters. */
  #advance({ windowMs }: RetryBounds, nowMs: number): void {
    const sliceLengthMs = windowMs / SLICES;
    if (nowMs - this.#sliceStartMs > windowMs) {
      this.#requests.fill(0);
      this.#retries.fill(0);
      this.#sliceStartMs = nowMs;
    }
    while (nowMs - this.#sliceStartMs >= sliceLengthMs) {
      this.#sliceStartMs += sliceLengthMs;
      this.#sliceIndex = (this.#sliceIndex + 1) % SLICES;
      this.#requests[this.#sliceIndex] = 0;
      this.#retries[this.#sliceIndex] = 0;
    }
  }
}

function sum(values: Float64Array): number {
  return values.reduce((a, b) => a + b, 0);
}
