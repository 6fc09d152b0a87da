/**
 * Bound on repeated sends to the targets of a service, so that the sends of
 * all hosts together stay below a part of the requests in any window.
 *
 * @module
 */

/** Parts into which a window is divided for counting. */
const SLICES = 20;

/** The bound as it is stated for all hosts together. */
export interface RetryBounds {
  /** Repeated sends per request. */
  readonly ratio: number;
  /** Repeated sends that are allowed besides in each window. */
  readonly slack: number;
  readonly windowMs: number;
}

/**
 * Part of the bound that is used. The rest covers requests at the edges of
 * windows and hosts that restart within one.
 */
const USED_PART = 0.75;

/** Repeated sends of one host to one service. */
export class RetryBudget {
  #requests = new Float64Array(SLICES);
  #repeats = new Float64Array(SLICES);
  #slice = 0;
  #sliceMs = -Infinity;

  /** Counts a request for the service. */
  recordRequest(bounds: RetryBounds, nowMs: number): void {
    this.#advance(bounds, nowMs);
    this.#requests[this.#slice] += 1;
  }

  /**
   * Counts a repeated send if the bound allows it.
   *
   * @param hosts Number of hosts that share the slack, this one included.
   */
  tryRetry(bounds: RetryBounds, hosts: number, nowMs: number): boolean {
    this.#advance(bounds, nowMs);
    const allowed = bounds.ratio * sum(this.#requests) +
      bounds.slack / Math.max(1, hosts);
    if (sum(this.#repeats) + 1 > USED_PART * allowed) return false;
    this.#repeats[this.#slice] += 1;
    return true;
  }

  #advance({ windowMs }: RetryBounds, nowMs: number): void {
    const lengthMs = windowMs / SLICES;
    if (nowMs - this.#sliceMs > windowMs) {
      this.#requests.fill(0);
      this.#repeats.fill(0);
      this.#sliceMs = nowMs;
    }
    while (nowMs - this.#sliceMs >= lengthMs) {
      this.#sliceMs += lengthMs;
      this.#slice = (this.#slice + 1) % SLICES;
      this.#requests[this.#slice] = 0;
      this.#repeats[this.#slice] = 0;
    }
  }
}

function sum(values: Float64Array): number {
  return values.reduce((a, b) => a + b, 0);
}
