/**
 * Weight of targets in the own region, so that objects whose requests are
 * dear to carry are held near their callers.
 *
 * All hosts of a region have to use the same weight, or they would look for
 * an object at different targets. The weight moves in steps and stays at one
 * until the gain is clearly that of another.
 *
 * @module
 */

/** Steps for a gain as large as the route's objective. */
const STEPS_PER_OBJECTIVE = 12;
/** Ratio of two steps. */
const STEP_RATIO = 1.7;
const MAX_STEP = 8;
/** Distance from the present step that changes it. */
const HYSTERESIS = 0.8;

/** Weights by route. */
export class LocalityWeights {
  #steps = new Map<string, number>();

  /**
   * Returns the weight of near targets, relative to far ones.
   *
   * @param gainMs What a near target saves, in milliseconds.
   */
  weightOf(routeId: string, gainMs: number, objectiveMs: number): number {
    const wanted = Math.min(
      MAX_STEP,
      STEPS_PER_OBJECTIVE * gainMs / objectiveMs,
    );
    const known = this.#steps.get(routeId);
    const step = known === undefined || Math.abs(wanted - known) > HYSTERESIS
      ? Math.round(wanted)
      : known;
    this.#steps.set(routeId, step);
    return STEP_RATIO ** step;
  }
}
