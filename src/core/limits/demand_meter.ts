/**
 * Requests a second of one organisation at one host.
 *
 * @module
 */

/** Time constants of the two estimates. */
const FAST_MS = 400;
const SLOW_MS = 2_500;

/** A steady estimate, and one that follows a rise at once. */
export class DemandMeter {
  #count = 0;
  #fastPerS = 0;
  #slowPerS = 0;
  #updatedMs: number;

  constructor(nowMs: number) {
    this.#updatedMs = nowMs;
  }

  /** Counts a request. */
  recordRequest(): void {
    this.#count += 1;
  }

  /** Takes the requests since the last update into the estimate. */
  update(nowMs: number): void {
    const elapsedMs = nowMs - this.#updatedMs;
    if (elapsedMs > 0) {
      const seenPerS = this.#count * 1_000 / elapsedMs;
      this.#fastPerS += weight(elapsedMs, FAST_MS) *
        (seenPerS - this.#fastPerS);
      this.#slowPerS += weight(elapsedMs, SLOW_MS) *
        (seenPerS - this.#slowPerS);
      this.#count = 0;
      this.#updatedMs = nowMs;
    }
  }

  /** Requests a second over some seconds. */
  get steadyRequestsPerS(): number {
    return this.#slowPerS;
  }

  /** The same, or the recent rate when it is higher. */
  get peakRequestsPerS(): number {
    return Math.max(this.#fastPerS, this.#slowPerS);
  }
}

function weight(elapsedMs: number, constantMs: number): number {
  return 1 - Math.exp(-elapsedMs / constantMs);
}
