/**
 * Total demand of an organisation at all hosts as it was a short time ago.
 *
 * @module
 */

/** Totals that are kept; with ten updates a second, those of two seconds. */
const SIZE = 20;

/** The last totals, of which a host's shares were computed. */
export class DemandHistory {
  // Arrays that are reused, as there is one history for each organisation and
  // ten updates a second.
  readonly #timesMs = new Float64Array(SIZE);
  readonly #requestsPerS = new Float64Array(SIZE);
  #count = 0;

  /** Records the total as of a time, which is later than the last one. */
  record(requestsPerS: number, nowMs: number): void {
    const index = this.#count % SIZE;
    this.#timesMs[index] = nowMs;
    this.#requestsPerS[index] = requestsPerS;
    this.#count += 1;
  }

  /**
   * Returns the total as of a time, or the earliest one that is kept;
   * `undefined` before the first one.
   */
  at(timeMs: number): number | undefined {
    if (this.#count === 0) return undefined;
    const first = Math.max(0, this.#count - SIZE);
    let n = this.#count - 1;
    while (n > first && this.#timesMs[n % SIZE] > timeMs) n -= 1;
    return this.#requestsPerS[n % SIZE];
  }
}
