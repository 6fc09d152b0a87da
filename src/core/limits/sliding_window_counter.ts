/**
 * Counts events within a sliding window.
 *
 * The window is divided into slices, so memory does not grow with the events.
 *
 * @module
 */

/**
 * Slices of a window. One more is kept: the oldest slice counts in full until
 * all of it is outside the window.
 */
const SLICES = 20;

/** Counts the events of the last window and of at most one slice before it. */
export class SlidingWindowCounter {
  /** Events by slice, used as a ring. */
  readonly #counts = new Float64Array(SLICES + 1);
  readonly #sliceMs: number;
  #currentSlice = 0;
  #currentSliceStartMs: number;
  #total = 0;

  constructor(windowMs: number, nowMs: number) {
    this.#sliceMs = windowMs / SLICES;
    this.#currentSliceStartMs = nowMs;
  }

  /** Counts an event. */
  add(nowMs: number): void {
    this.#advance(nowMs);
    this.#counts[this.#currentSlice] += 1;
    this.#total += 1;
  }

  /** Removes the latest event, if the window has one. */
  removeLatest(nowMs: number): void {
    this.#advance(nowMs);
    for (let age = 0; age < this.#counts.length; age++) {
      const slice = (this.#currentSlice + this.#counts.length - age) %
        this.#counts.length;
      if (this.#counts[slice] === 0) continue;
      this.#counts[slice] -= 1;
      this.#total -= 1;
      return;
    }
  }

  /** Returns the number of events in the last window. */
  count(nowMs: number): number {
    this.#advance(nowMs);
    return this.#total;
  }

  /** Moves on to the slice of `nowMs` and drops the slices that are too old. */
  #advance(nowMs: number): void {
    const elapsedSlices = Math.floor(
      (nowMs - this.#currentSliceStartMs) / this.#sliceMs,
    );
    if (elapsedSlices <= 0) return;
    this.#currentSliceStartMs += elapsedSlices * this.#sliceMs;
    for (let i = 0; i < Math.min(elapsedSlices, this.#counts.length); i++) {
      this.#currentSlice = (this.#currentSlice + 1) % this.#counts.length;
      this.#total -= this.#counts[this.#currentSlice];
      this.#counts[this.#currentSlice] = 0;
    }
  }
}
