/**
 * Measures how the time of a computation grows with the size of its input.
 *
 * @module
 */

/** Runs of which the fastest counts, as garbage is collected in others. */
const RUNS = 5;
/** Times below this are dominated by other costs. */
const MIN_TIME_MS = 0.5;

/**
 * Returns the ratio of the times that a computation takes for an input 16 times
 * as large: about 16 if the time grows with the size, 256 with its square.
 *
 * @param prepare Returns the computation for an input of a size.
 * @param size Size of the smaller input.
 */
export function measureGrowth(
  prepare: (size: number) => () => void,
  size: number,
): number {
  const measure = (inputSize: number) => {
    let fastestMs = Infinity;
    for (let run = 0; run < RUNS; run++) {
      const compute = prepare(inputSize);
      const startMs = performance.now();
      const startUsage = process.cpuUsage();
      compute();
      const { user, system } = process.cpuUsage(startUsage);
      const tookMs = performance.now() - startMs;
      // The load of the machine adds to the one, and the threads that collect
      // garbage to the other.
      fastestMs = Math.min(fastestMs, tookMs, (user + system) / 1_000);
    }
    return Math.max(MIN_TIME_MS, fastestMs);
  };
  return measure(16 * size) / measure(size);
}

/** Ratio above which a time grows faster than the size of the input. */
export const MAX_LINEAR_GROWTH = 64;
