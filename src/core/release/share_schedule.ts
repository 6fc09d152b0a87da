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
/** Part of the exposure bound that all routes together may use. */
const ROUTES_PART = 0.75;

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
export function shareAfterEvaluation(
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
 * Shares by route under evaluation: a route with few requests gets a larger
 * one, as long as the service's sum stays below the bound.
 *
 * @param perS Requests a second of each route over all hosts.
 */
export function computeRouteShares(
  share: number,
  perS: ReadonlyMap<string, number>,
  exposureShare: number,
): Map<string, number> {
  const shares = new Map<string, number>();
  let allPerS = 0;
  let extraPerS = 0;
  for (const [routeId, routePerS] of perS) {
    const wanted = routePerS > 0 ? MIN_ROUTE_SAMPLES_PER_S / routePerS : 0;
    const own = Math.max(share, Math.min(MAX_ROUTE_SHARE, wanted));
    shares.set(routeId, own);
    allPerS += routePerS;
    extraPerS += (own - share) * routePerS;
  }
  const mostPerS = (exposureShare * ROUTES_PART - share) * allPerS;
  const factor = extraPerS > mostPerS ? mostPerS / extraPerS : 1;
  for (const [routeId, own] of shares) {
    shares.set(routeId, share + (own - share) * factor);
  }
  return shares;
}
