/**
 * Locality weights: how much more likely targets in the host's own region are
 * to hold an object than targets in other regions. A higher weight avoids
 * transfers between regions on routes where these are expensive.
 *
 * All hosts of a region have to use the same weight, otherwise they would
 * expect an object at different targets. The weight therefore changes in steps,
 * and only when the saving is clearly that of another step.
 *
 * @module
 */

/** Steps for a saving as large as the route's objective. */
const STEPS_PER_OBJECTIVE = 12;
/** Ratio of the weights of two successive steps; step 0 has weight 1. */
const STEP_RATIO = 1.7;
const MAX_STEP = 8;
/** Difference from the current step above which the step changes. */
const STEP_HYSTERESIS = 0.8;

/** Locality weights by route. */
export class LocalityWeights {
  #stepByRoute = new Map<string, number>();

  /**
   * Returns the weight of targets in the host's own region. Targets in other
   * regions have weight 1.
   *
   * @param savingMs Time that a target in the own region saves.
   */
  weightOf(routeId: string, savingMs: number, objectiveMs: number): number {
    const idealStep = Math.min(
      MAX_STEP,
      STEPS_PER_OBJECTIVE * savingMs / objectiveMs,
    );
    const currentStep = this.#stepByRoute.get(routeId);
    const step = currentStep === undefined ||
        Math.abs(idealStep - currentStep) > STEP_HYSTERESIS
      ? Math.round(idealStep)
      : currentStep;
    this.#stepByRoute.set(routeId, step);
    return STEP_RATIO ** step;
  }
}
