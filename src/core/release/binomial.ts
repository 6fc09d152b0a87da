/**
 * Tail of the binomial distribution.
 *
 * @module
 */

/**
 * Returns the probability of at least `successes` in `trials` independent
 * trials.
 *
 * @param probability Probability of a success in one trial.
 */
export function binomialTail(
  successes: number,
  trials: number,
  probability: number,
): number {
  if (successes <= 0) return 1;
  if (successes > trials || probability <= 0) return 0;
  if (probability >= 1) return 1;
  let logTerm = logChoose(trials, successes) +
    successes * Math.log(probability) +
    (trials - successes) * Math.log(1 - probability);
  let sum = 0;
  for (let k = successes; k <= trials; k++) {
    const term = Math.exp(logTerm);
    sum += term;
    // Above the mean the terms decrease, so the remaining ones are negligible.
    if (k > trials * probability && term < sum * 1e-9) break;
    logTerm += Math.log((trials - k) / (k + 1)) +
      Math.log(probability / (1 - probability));
  }
  return Math.min(1, sum);
}

/** Natural logarithm of the binomial coefficient "n choose k". */
function logChoose(n: number, k: number): number {
  let log = 0;
  for (let i = 1; i <= k; i++) log += Math.log((n - k + i) / i);
  return log;
}
