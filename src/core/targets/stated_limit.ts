/**
 * Limit that a target states on the requests that it accepts per second from
 * all hosts together.
 *
 * @module
 */

/** The limit that one target stated last. */
export class StatedLimit {
  #limitPerS: number | undefined;

  /** Requests per second from all hosts together; `undefined` if unlimited. */
  get limitPerS(): number | undefined {
    return this.#limitPerS;
  }

  /**
   * Records the limit in a response of the target. A response without one ends
   * the limit.
   */
  recordResponse(limitPerS: number | undefined): void {
    this.#limitPerS = limitPerS;
  }
}
