/**
 * Pace of the machine of one target: how long work takes there at this moment,
 * compared to the usual. Targets share their machines with others, so the pace
 * changes within a second and is no property of the target or its version.
 *
 * @module
 */

/**
 * Time constant in which the latest statement gives way to the mean of earlier
 * ones. Statements of one target that lay 100, 400 and 700 ms apart correlated at
 * 0.4, 0.34 and 0.02 on a simulated day; see docs/design/target_load.md.
 */
const STATEMENT_DECAY_MS = 350;
/**
 * Time constant of the mean. It is long enough to hold many changes of the pace,
 * so that the mean is the target's usual pace.
 */
const MEAN_TIME_CONSTANT_MS = 20_000;
/** Largest weight of one statement in the mean, after a time without any. */
const MAX_MEAN_WEIGHT = 0.2;
/** Bounds of a ratio, which limit the effect of a false statement. */
const MIN_PACE_RATIO = 0.2;
const MAX_PACE_RATIO = 10;
/**
 * Largest factor between what another host tells and the mean of what the target
 * stated to this host, as another host may report falsely.
 */
const MAX_OBSERVED_FACTOR = 3;

/**
 * Returns the ratio of the time that work takes to the usual time.
 *
 * @param pacePercent As stated by the target; `undefined` if it states none.
 */
export function paceRatioOf(pacePercent: number | undefined): number {
  if (pacePercent === undefined) return 1;
  return Math.min(
    MAX_PACE_RATIO,
    Math.max(MIN_PACE_RATIO, pacePercent / 100),
  );
}

/** Estimated pace of one target. */
export class PaceEstimate {
  #latestRatio = 1;
  #meanRatio = 1;
  #statedMs = -Infinity;
  /** Time of the newest statement to another host. */
  #observedMs = -Infinity;

  /** Whether the target has stated its pace, to this host or another. */
  get isStated(): boolean {
    return this.#statedMs !== -Infinity || this.#observedMs !== -Infinity;
  }

  /** Time of the newest statement; -Infinity if there is none. */
  get statedMs(): number {
    return this.#statedMs;
  }

  /**
   * Records what the target stated at a time. A statement that is not newer than
   * the last one is ignored.
   */
  recordStatement(pacePercent: number, statedMs: number): void {
    if (statedMs <= this.#statedMs) return;
    const statedRatio = paceRatioOf(pacePercent);
    if (statedMs >= this.#observedMs) this.#latestRatio = statedRatio;
    const weight = Math.min(
      MAX_MEAN_WEIGHT,
      1 - Math.exp(-(statedMs - this.#statedMs) / MEAN_TIME_CONSTANT_MS),
    );
    this.#meanRatio += weight * (statedRatio - this.#meanRatio);
    this.#statedMs = statedMs;
  }

  /**
   * Records what the target stated to another host. It doesn't change the mean
   * and is ignored if it is not newer than what is known.
   */
  recordObservation(pacePercent: number, observedMs: number): void {
    if (observedMs <= Math.max(this.#statedMs, this.#observedMs)) return;
    this.#observedMs = observedMs;
    this.#latestRatio = Math.min(
      this.#meanRatio * MAX_OBSERVED_FACTOR,
      Math.max(this.#meanRatio / MAX_OBSERVED_FACTOR, paceRatioOf(pacePercent)),
    );
  }

  /**
   * Expected ratio of the time that work takes to the usual time; 1 for a target
   * that states no pace.
   */
  ratio(nowMs: number): number {
    const ageMs = Math.max(
      0,
      nowMs - Math.max(this.#statedMs, this.#observedMs),
    );
    return this.#meanRatio + (this.#latestRatio - this.#meanRatio) *
        Math.exp(-ageMs / STATEMENT_DECAY_MS);
  }
}
