/**
 * Tail of the binomial distribution.
 *
 * @module
 */

/**
 * Probability of `successes` or more in a number of trials.
 *
 * @param chance Probability of a success in one trial.
 */
export function binomialTail(
  successes: number,
  trials: number,
  chance: number,
): number {
  if (successes <= 0) return 1;
  if (successes > trials || chance <= 0) return 0;
  if (chance >= 1) return 1;
  let logTerm = logChoose(trials, successes) +
    successes * Math.log(chance) +
    (trials - successes) * Math.log(1 - chance);
  let sum = 0;
  for (let k = successes; k <= trials; k++) {
    const term = Math.exp(logTerm);
    sum += term;
    // Terms fall from here on, so the rest adds nothing that counts.
    if (k > trials * chance && term < sum * 1e-9) break;
    logTerm += Math.log((trials - k) / (k + 1)) +
      Math.log(chance / (1 - chance));
  }
  return Math.min(1, sum);
}

function logChoose(n: number, k: number): number {
  let log = 0;
  for (let i = 1; i <= k; i++) log += Math.log((n - k + i) / i);
  return log;
}
