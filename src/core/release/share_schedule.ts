/**
 * Share of a new version over the time of its release.
 *
 * A version stays at a small share until it is found good. It is then raised
 * in short steps: if a fault shows only at a higher share, the requests that
 * it has got until then stay below the bound.
 *
 * @module
 */

/** Part of the exposure bound that the share under evaluation uses. */
const EVALUATION_PART = 0.5;
/** Part of the time that a version is evaluated at least. */
const EVALUATION_TIME_PART = 0.5;
/** Shares after the evaluation, with their lengths as parts of the time. */
const STEPS = [
  { share: 0.2, timePart: 0.06 },
  { share: 0.45, timePart: 0.05 },
  { share: 0.8, timePart: 0.04 },
  { share: 1, timePart: 0.04 },
];
/** Answers a second that a route with little traffic should yield. */
const MIN_ROUTE_SAMPLES_PER_S = 2;
/** Largest share of a route with little traffic. */
const MAX_ROUTE_SHARE = 0.4;

/** Share under evaluation. */
export function evaluationShare(exposureShare: number): number {
  return exposureShare * EVALUATION_PART;
}

/** Time after which a version without a fault is raised. */
export function evaluationMs(durationMs: number): number {
  return durationMs * EVALUATION_TIME_PART;
}

/**
 * Returns the share at a time after the end of the evaluation, or `undefined`
 * once all steps are over.
 */
export function raisedShare(
  raisedForMs: number,
  durationMs: number,
): number | undefined {
  let endMs = 0;
  for (const { share, timePart } of STEPS) {
    endMs += timePart * durationMs;
    if (raisedForMs < endMs) return share;
  }
  return undefined;
}

/**
 * Share on one route under evaluation: a route with few requests gets a
 * larger one, which adds little to the service's sum.
 *
 * @param routePerS Requests a second of the route over all hosts.
 */
export function routeShare(share: number, routePerS: number): number {
  if (routePerS <= 0) return share;
  const wanted = MIN_ROUTE_SAMPLES_PER_S / routePerS;
  return Math.max(share, Math.min(MAX_ROUTE_SHARE, wanted));
}
