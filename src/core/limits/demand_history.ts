/**
 * Total demand of an organisation at all hosts as it was a short time ago.
 *
 * @module
 */

/** Values that are kept; with ten updates a second, those of two seconds. */
const MAX_VALUES = 20;

/** The last totals, of which a host's shares were computed. */
export class DemandHistory {
  readonly #values: { atMs: number; requestsPerS: number }[] = [];

  /** Records the total as of a time, which is later than the last one. */
  record(requestsPerS: number, nowMs: number): void {
    this.#values.push({ atMs: nowMs, requestsPerS });
    if (this.#values.length > MAX_VALUES) this.#values.shift();
  }

  /** Returns the total as of a time, or the earliest one that is kept. */
  at(timeMs: number): number | undefined {
    return (this.#values.findLast(({ atMs }) => atMs <= timeMs) ??
      this.#values[0])?.requestsPerS;
  }
}
