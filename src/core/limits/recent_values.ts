/**
 * A figure of an organisation's demand as it was a short time ago.
 *
 * @module
 */

/** Values that are kept; with ten updates a second, those of two seconds. */
const SIZE = 20;

/** The last values of a figure. */
export class RecentValues {
  // Arrays that are reused, as there is one history for each organisation and
  // ten updates a second.
  readonly #timesMs = new Float64Array(SIZE);
  readonly #values = new Float64Array(SIZE);
  #count = 0;

  /** Records the value as of a time, which is later than the last one. */
  record(value: number, nowMs: number): void {
    const index = this.#count % SIZE;
    this.#timesMs[index] = nowMs;
    this.#values[index] = value;
    this.#count += 1;
  }

  /**
   * Returns the value as of a time, or the earliest one that is kept;
   * `undefined` before the first one.
   */
  at(timeMs: number): number | undefined {
    if (this.#count === 0) return undefined;
    const first = Math.max(0, this.#count - SIZE);
    let n = this.#count - 1;
    while (n > first && this.#timesMs[n % SIZE] > timeMs) n -= 1;
    return this.#values[n % SIZE];
  }
}
