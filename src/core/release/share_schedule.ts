/**
 * Traffic share of a new version over the time of its release.
 *
 * The version keeps a small share until it is found good. The share is then
 * raised in short steps: if a fault shows only at a higher share, the requests
 * that the version has got until then stay below the exposure bound.
 *
 * @module
 */

/** Fraction of the exposure bound that the share during evaluation uses. */
const EVALUATION_SHARE_FRACTION = 0.5;
/** Fraction of the release's duration that the evaluation takes at least. */
const EVALUATION_TIME_FRACTION = 0.5;
/** Shares after the evaluation; times are fractions of the duration. */
const STEPS = [
  { share: 0.2, timeFraction: 0.06 },
  { share: 0.45, timeFraction: 0.05 },
  { share: 0.8, timeFraction: 0.04 },
  { share: 1, timeFraction: 0.04 },
];
/** Rate of responses that a route with little traffic should yield. */
const MIN_ROUTE_RESPONSES_PER_S = 2;
/** Largest share during evaluation on a route with little traffic. */
const MAX_ROUTE_SHARE = 0.4;
/** Fraction of the exposure bound that all routes together may use. */
const ROUTE_SHARES_FRACTION = 0.75;

/** Share of a service's requests during evaluation. */
export function computeEvaluationShare(exposureShare: number): number {
  return exposureShare * EVALUATION_SHARE_FRACTION;
}

/** Shortest time from the order to the first raise of the share. */
export function computeEvaluationMs(durationMs: number): number {
  return durationMs * EVALUATION_TIME_FRACTION;
}

/**
 * Returns the share at a time after the end of the evaluation, or `undefined`
 * once all steps have passed.
 *
 * @param elapsedMs Time since the end of the evaluation.
 * @param durationMs Duration of the release.
 */
export function computeShareAfterEvaluation(
  elapsedMs: number,
  durationMs: number,
): number | undefined {
  let endMs = 0;
  for (const { share, timeFraction } of STEPS) {
    endMs += timeFraction * durationMs;
    if (elapsedMs < endMs) return share;
  }
  return undefined;
}

/**
 * Returns the shares by route during evaluation. A route with few requests
 * gets a larger share, as long as the service's total stays below the bound.
 *
 * @param share Share of a route with enough requests.
 * @param requestsPerS Request rates of the routes over all hosts.
 * @param exposureShare Fraction of the service's requests that a bad version
 * may get.
 */
export function computeRouteShares(
  share: number,
  requestsPerS: ReadonlyMap<string, number>,
  exposureShare: number,
): Map<string, number> {
  const shares = new Map<string, number>();
  let totalRequestsPerS = 0;
  let extraRequestsPerS = 0;
  for (const [routeId, routeRequestsPerS] of requestsPerS) {
    const neededShare = routeRequestsPerS > 0
      ? MIN_ROUTE_RESPONSES_PER_S / routeRequestsPerS
      : 0;
    const routeShare = Math.max(share, Math.min(MAX_ROUTE_SHARE, neededShare));
    shares.set(routeId, routeShare);
    totalRequestsPerS += routeRequestsPerS;
    extraRequestsPerS += (routeShare - share) * routeRequestsPerS;
  }
  const maxExtraRequestsPerS = (exposureShare * ROUTE_SHARES_FRACTION - share) *
    totalRequestsPerS;
  const factor = extraRequestsPerS > maxExtraRequestsPerS
    ? maxExtraRequestsPerS / extraRequestsPerS
    : 1;
  for (const [routeId, routeShare] of shares) {
    shares.set(routeId, share + (routeShare - share) * factor);
  }
  return shares;
}
