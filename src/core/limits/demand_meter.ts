/**
 * Estimates the rate of one organisation's requests at one host with two
 * exponentially weighted moving averages (EWMA).
 *
 * @module
 */

/** Time constant of the average that follows short bursts. */
const FAST_TIME_CONSTANT_MS = 400;
/** Time constant of the average that is reported to other hosts. */
const SLOW_TIME_CONSTANT_MS = 2_500;

/**
 * Request rate estimates. Requests are counted as they arrive and enter the
 * averages with the next `update`.
 */
export class DemandMeter {
  #requestsSinceUpdate = 0;
  #fastRequestsPerS = 0;
  #slowRequestsPerS = 0;
  #updatedMs: number;

  constructor(nowMs: number) {
    this.#updatedMs = nowMs;
  }

  /** Counts a request, admitted or not. */
  recordRequest(): void {
    this.#requestsSinceUpdate += 1;
  }

  /** Adds the requests since the last update to both averages. */
  update(nowMs: number): void {
    const elapsedMs = nowMs - this.#updatedMs;
    if (elapsedMs > 0) {
      const requestsPerS = this.#requestsSinceUpdate * 1_000 / elapsedMs;
      this.#fastRequestsPerS +=
        computeEwmaWeight(elapsedMs, FAST_TIME_CONSTANT_MS) *
        (requestsPerS - this.#fastRequestsPerS);
      this.#slowRequestsPerS +=
        computeEwmaWeight(elapsedMs, SLOW_TIME_CONSTANT_MS) *
        (requestsPerS - this.#slowRequestsPerS);
      this.#requestsSinceUpdate = 0;
      this.#updatedMs = nowMs;
    }
  }

  /** The slow average. */
  get steadyRequestsPerS(): number {
    return this.#slowRequestsPerS;
  }

  /** The higher of the two averages, so that a rise shows at once. */
  get peakRequestsPerS(): number {
    return Math.max(this.#fastRequestsPerS, this.#slowRequestsPerS);
  }
}

/** Weight of a sample over `elapsedMs` in an average, from 0 to 1. */
function computeEwmaWeight(elapsedMs: number, timeConstantMs: number): number {
  return 1 - Math.exp(-elapsedMs / timeConstantMs);
}
