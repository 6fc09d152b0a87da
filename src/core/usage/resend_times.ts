/**
 * Times at which reports are sent again.
 *
 * @module
 */

/** Delays before a report is sent again: the first one, and the longest. */
const FIRST_DELAY_MS = 400;
const MAX_DELAY_MS = 4_000;

/** Back-off of each window whose report was refused or not answered. */
export class ResendTimes {
  readonly #times = new Map<number, { atMs: number; delayMs: number }>();

  /** Whether the report of a window may be sent. */
  isDue(windowNumber: number, nowMs: number): boolean {
    return nowMs >= (this.#times.get(windowNumber)?.atMs ?? -Infinity);
  }

  /** Holds the report of a window back until its call has ended. */
  recordStart(windowNumber: number): void {
    const { delayMs = FIRST_DELAY_MS / 2 } = this.#times.get(windowNumber) ??
      {};
    this.#times.set(windowNumber, { atMs: Infinity, delayMs });
  }

  /** Records that a report was refused or not answered. */
  recordFailure(windowNumber: number, nowMs: number): void {
    const { delayMs = FIRST_DELAY_MS / 2 } = this.#times.get(windowNumber) ??
      {};
    const nextDelayMs = Math.min(2 * delayMs, MAX_DELAY_MS);
    this.#times.set(windowNumber, {
      atMs: nowMs + nextDelayMs,
      delayMs: nextDelayMs,
    });
  }

  /** Forgets a window, or all of them. */
  clear(windowNumber?: number): void {
    if (windowNumber === undefined) this.#times.clear();
    else this.#times.delete(windowNumber);
  }
}
