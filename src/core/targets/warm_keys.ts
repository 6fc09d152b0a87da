/**
 * Objects that one target has handled for this host recently, as an LRU set.
 * The target is assumed to still have them cached and to work faster on them.
 *
 * @module
 */

/**
 * Objects remembered for each target. Targets are known to cache 14 to 50
 * objects, including those requested through other hosts, which this host does
 * not see.
 */
const MAX_KEYS = 24;

/** Objects handled recently by one target. */
export class WarmKeys {
  /** Time of the last request by key hash, least recently used first. */
  #lastSentMs = new Map<number, number>();

  /** Whether the target has recently handled an object for this host. */
  has(keyHash: number): boolean {
    return this.#lastSentMs.has(keyHash);
  }

  /** Records that a request for an object is sent to the target. */
  add(keyHash: number, nowMs: number): void {
    this.#lastSentMs.delete(keyHash);
    this.#lastSentMs.set(keyHash, nowMs);
    if (this.#lastSentMs.size <= MAX_KEYS) return;
    for (const oldestKeyHash of this.#lastSentMs.keys()) {
      this.#lastSentMs.delete(oldestKeyHash);
      return;
    }
  }
}
