/**
 * Time that targets work on a request of a route, learned from answers.
 *
 * @module
 */

/** Quantile of the times on targets that are believed to hold the object. */
const WARM_QUANTILE = 0.5;
/**
 * Quantile of the times on the other targets. Some of them hold the object
 * because of other hosts' requests, so the median would be too low.
 */
const COLD_QUANTILE = 0.8;
/** Step of a quantile with one answer, as a part of its value. */
const STEP_PART = 0.06;
/**
 * First guesses as parts of a route's latency objective, until answers tell.
 * Objectives are stated for warm targets with some time to spare.
 */
const WARM_PART = 0.4;
const COLD_PART = 1.2;
/** Guess for a route without an objective, in milliseconds. */
const DEFAULT_OBJECTIVE_MS = 500;

/** Expected time of one kind of request. */
export interface ExpectedServiceTime {
  readonly warmMs: number;
  readonly coldMs: number;
}

interface Known {
  warmMs: number;
  coldMs: number;
}

/** Learned times by route. */
export class ServiceTimes {
  #byRoute = new Map<string, Known>();

  /**
   * Returns the expected times of a route.
   *
   * @param objectiveMs Latency objective of the route; 0 without one.
   */
  expectedServiceTime(
    routeId: string,
    objectiveMs: number,
  ): ExpectedServiceTime {
    const { warmMs, coldMs } = this.#knownOf(routeId, objectiveMs);
    return { warmMs, coldMs: Math.max(warmMs, coldMs) };
  }

  /** Notes how long a target worked on a request. */
  recordServiceTime(
    { id, objectiveMs }: { id: string; objectiveMs: number },
    workMs: number,
    options: { isWarm: boolean },
  ): void {
    const known = this.#knownOf(id, objectiveMs);
    if (options.isWarm) {
      known.warmMs = follow(known.warmMs, workMs, WARM_QUANTILE);
    } else known.coldMs = follow(known.coldMs, workMs, COLD_QUANTILE);
  }

  #knownOf(routeId: string, objectiveMs: number): Known {
    let known = this.#byRoute.get(routeId);
    if (known === undefined) {
      const guessMs = objectiveMs > 0 ? objectiveMs : DEFAULT_OBJECTIVE_MS;
      known = { warmMs: guessMs * WARM_PART, coldMs: guessMs * COLD_PART };
      this.#byRoute.set(routeId, known);
    }
    return known;
  }
}

/** Moves an estimate of a quantile by one observation. */
function follow(estimate: number, value: number, quantile: number): number {
  const step = STEP_PART * estimate;
  return value > estimate
    ? estimate + step * quantile
    : estimate - step * (1 - quantile);
}
