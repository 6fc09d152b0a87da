/**
 * Objects that a target has handled for this host recently. A target keeps a
 * limited number of objects and works faster on those.
 *
 * @module
 */

/**
 * Objects remembered for each target. Targets of the known sites keep 14 to
 * 50; what other hosts send there is not seen here.
 */
const MAX_KEYS = 24;

/** Recently handled objects of one target, the oldest first. */
export class WarmKeys {
  #sentMs = new Map<number, number>();

  /** Whether the target has handled an object for this host. */
  has(keyHash: number): boolean {
    return this.#sentMs.has(keyHash);
  }

  /** Notes that the target handles an object. */
  add(keyHash: number, nowMs: number): void {
    this.#sentMs.delete(keyHash);
    this.#sentMs.set(keyHash, nowMs);
    if (this.#sentMs.size <= MAX_KEYS) return;
    for (const oldest of this.#sentMs.keys()) {
      this.#sentMs.delete(oldest);
      return;
    }
  }
}
