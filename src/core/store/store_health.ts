/**
 * What the ends of calls say about the store.
 *
 * @module
 */

/** Whether the store answers, as this host sees it. */
export class StoreHealth {
  #answeredMs = -Infinity;
  #failingSinceMs: number | undefined;
  #returnedMs = -Infinity;

  /** Age of the last answer; Infinity before the first one. */
  ageMs(nowMs: number): number {
    return nowMs - this.#answeredMs;
  }

  /** Whether the last call had no usable answer. */
  get isFailing(): boolean {
    return this.#failingSinceMs !== undefined;
  }

  /** When the store last answered again after failures. */
  get recoveredMs(): number {
    return this.#returnedMs;
  }

  /** Notes an answer. Returns whether the store has come back. */
  recordResponse(nowMs: number): boolean {
    this.#answeredMs = nowMs;
    if (this.#failingSinceMs === undefined) return false;
    this.#failingSinceMs = undefined;
    this.#returnedMs = nowMs;
    return true;
  }

  /** Notes a call without a usable answer. Returns whether it is the first. */
  recordFailure(nowMs: number): boolean {
    if (this.#failingSinceMs !== undefined) return false;
    this.#failingSinceMs = nowMs;
    return true;
  }
}
