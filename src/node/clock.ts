/**
 * Clock of the process.
 *
 * @module
 */

/** Milliseconds since the process started, on the monotonic clock. */
export function monotonicMs(): number {
  return performance.now();
}
