/**
 * Expected service times: how long targets work on a request of a route,
 * estimated from responses.
 *
 * @module
 */

/** Quantile of the times on targets expected to have the object cached. */
const WARM_QUANTILE = 0.5;
/**
 * Quantile of the times on all other targets. Some of them have the object
 * cached because of other hosts' requests, so the median would be too low.
 */
const COLD_QUANTILE = 0.8;
/** Step of a quantile estimate per response, as a fraction of its value. */
const QUANTILE_STEP_FRACTION = 0.06;
/**
 * Initial estimates relative to the latency objective of the route.
 * Objectives are stated for warm targets, with some time to spare.
 */
const INITIAL_WARM_RATIO = 0.4;
const INITIAL_COLD_RATIO = 1.2;
/** Assumed latency objective of routes without one, in milliseconds. */
const DEFAULT_OBJECTIVE_MS = 500;

/** Expected time that a target works on a request. */
export interface ExpectedServiceTime {
  /** Time if the target has the object cached. */
  readonly warmMs: number;
  /** Time if it does not; never less than `warmMs`. */
  readonly coldMs: number;
}

interface QuantileEstimates {
  warmMs: number;
  coldMs: number;
}

/** Estimated service times by route. */
export class ServiceTimes {
  #byRoute = new Map<string, QuantileEstimates>();

  /**
   * Returns the expected service time of a route.
   *
   * @param objectiveMs Latency objective of the route; 0 without one.
   */
  expectedServiceTime(
    routeId: string,
    objectiveMs: number,
  ): ExpectedServiceTime {
    const { warmMs, coldMs } = this.#estimatesOf(routeId, objectiveMs);
    return { warmMs, coldMs: Math.max(warmMs, coldMs) };
  }

  /** Records how long a target worked on a request. */
  recordServiceTime(
    { id, objectiveMs }: { id: string; objectiveMs: number },
    serviceTimeMs: number,
    options: { isWarm: boolean },
  ): void {
    const estimates = this.#estimatesOf(id, objectiveMs);
    if (options.isWarm) {
      estimates.warmMs = updateQuantile(
        estimates.warmMs,
        serviceTimeMs,
        WARM_QUANTILE,
      );
    } else {
      estimates.coldMs = updateQuantile(
        estimates.coldMs,
        serviceTimeMs,
        COLD_QUANTILE,
      );
    }
  }

  #estimatesOf(routeId: string, objectiveMs: number): QuantileEstimates {
    let estimates = this.#byRoute.get(routeId);
    if (estimates === undefined) {
      const baseMs = objectiveMs > 0 ? objectiveMs : DEFAULT_OBJECTIVE_MS;
      estimates = {
        warmMs: baseMs * INITIAL_WARM_RATIO,
        coldMs: baseMs * INITIAL_COLD_RATIO,
      };
      this.#byRoute.set(routeId, estimates);
    }
    return estimates;
  }
}

/** Moves the estimate of a quantile towards a new value. */
function updateQuantile(
  estimate: number,
  value: number,
  quantile: number,
): number {
  const step = QUANTILE_STEP_FRACTION * estimate;
  return value > estimate
    ? estimate + step * quantile
    : estimate - step * (1 - quantile);
}
