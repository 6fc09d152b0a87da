/**
 * Count of events within a sliding window.
 *
 * @module
 */

/** Slices of a window; the oldest one counts in full until it has passed. */
const SLICES = 20;

/** Events of the last window. */
export class WindowCounter {
  readonly #counts = new Float64Array(SLICES + 1);
  readonly #sliceMs: number;
  #at = 0;
  #startMs: number;
  #total = 0;

  constructor(windowMs: number, nowMs: number) {
    this.#sliceMs = windowMs / SLICES;
    this.#startMs = nowMs;
  }

  /** Adds events; a negative number takes some back. */
  add(events: number, nowMs: number): void {
    this.#advance(nowMs);
    this.#counts[this.#at] += events;
    this.#total += events;
  }

  /** Events of the last window. */
  total(nowMs: number): number {
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
