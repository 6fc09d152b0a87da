/**
 * Health of the store as this host observes it.
 *
 * @module
 */

/** Tracks the results of this host's calls to the store. */
export class StoreHealth {
  #lastResponseMs = -Infinity;
  #failingSinceMs: number | undefined;
  #recoveredMs = -Infinity;

  /** Time since the last response; Infinity before the first one. */
  ageMs(nowMs: number): number {
    return nowMs - this.#lastResponseMs;
  }

  /** Whether the last call had no usable response. */
  get isFailing(): boolean {
    return this.#failingSinceMs !== undefined;
  }

  /** Time of the last recovery from failures; -Infinity if never. */
  get recoveredMs(): number {
    return this.#recoveredMs;
  }

  /** Records a response. Returns whether the store has recovered. */
  recordResponse(nowMs: number): boolean {
    this.#lastResponseMs = nowMs;
    if (this.#failingSinceMs === undefined) return false;
    this.#failingSinceMs = undefined;
    this.#recoveredMs = nowMs;
    return true;
  }

  /**
   * Records a call without a usable response. Returns whether it is the first
   * one since the last response.
   */
  recordFailure(nowMs: number): boolean {
    if (this.#failingSinceMs !== undefined) return false;
    this.#failingSinceMs = nowMs;
    return true;
  }
}
