/**
 * Count of events within a sliding window.
 *
 * @module
 */

/** Slices of a window; the oldest one counts in full until it has passed. */
const SLICES = 20;

/** Events of the last window. */
export class SlidingWindowCounter {
  readonly #counts = new Float64Array(SLICES + 1);
  readonly #sliceMs: number;
  #at = 0;
  #startMs: number;
  #total = 0;

  constructor(windowMs: number, nowMs: number) {
    this.#sliceMs = windowMs / SLICES;
    this.#startMs = nowMs;
  }

  /** Adds an event. */
  add(nowMs: number): void {
    this.#advance(nowMs);
    this.#counts[this.#at] += 1;
    this.#total += 1;
  }

  /** Takes back an event, the latest one of the window. */
  removeLatest(nowMs: number): void {
    this.#advance(nowMs);
    for (let i = 0; i < this.#counts.length; i++) {
      const at = (this.#at + this.#counts.length - i) % this.#counts.length;
      if (this.#counts[at] === 0) continue;
      this.#counts[at] -= 1;
      this.#total -= 1;
      return;
    }
  }

  /** Events of the last window. */
  count(nowMs: number): number {
    this.#advance(nowMs);
    return this.#total;
  }

  #advance(nowMs: number): void {
    const slices = Math.floor((nowMs - this.#startMs) / this.#sliceMs);
    if (slices <= 0) return;
    this.#startMs += slices * this.#sliceMs;
    for (let i = 0; i < Math.min(slices, this.#counts.length); i++) {
      this.#at = (this.#at + 1) % this.#counts.length;
      this.#total -= this.#counts[this.#at];
      this.#counts[this.#at] = 0;
    }
  }
}
