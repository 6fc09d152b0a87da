/**
 * Choice of a few entries for each of many reports, so that a report stays
 * small and all entries are reported in turn.
 *
 * @module
 */

/** Takes entries of a list in turn. */
export class Rotation {
  #next = 0;

  /**
   * Returns up to `count` entries, from the one on at which the last call
   * ended. The list may change between two calls.
   */
  take<T>(entries: readonly T[], count: number): T[] {
    if (entries.length <= count) return [...entries];
    const start = this.#next % entries.length;
    this.#next = start + count;
    return Array.from(
      { length: count },
      (_, i) => entries[(start + i) % entries.length],
    );
  }
}
