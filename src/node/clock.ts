/**
 * Clock of the process.
 *
 * @module
 */

/** Returns the time of the monotonic clock in milliseconds since process start. */
export function monotonicMs(): number {
  return performance.now();
}
