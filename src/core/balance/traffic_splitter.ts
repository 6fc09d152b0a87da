/**
 * Traffic split: divides the requests of a route over services by weight.
 *
 * Requests for one object go to the same service as far as the weights allow,
 * so that only the targets of that service have to hold the object.
 *
 * @module
 */
import type { Route } from "../document/document.ts";
import { hashToUnitInterval } from "../hash32.ts";

/** Requests that a service may get in excess of its share. */
const MAX_SURPLUS_REQUESTS = 3;
/** Further surplus that is allowed, as a fraction of the route's requests. */
const SURPLUS_FRACTION = 0.02;
/** Number of requests at which the allowed surplus stops growing. */
const MAX_COUNTED_REQUESTS = 500;

interface SplitState {
  /** Requests that each service got in excess of its share. */
  readonly surpluses: number[];
  /** Services and weights that the surpluses belong to. */
  readonly weights: string;
  requests: number;
}

/** Divides requests by weight and tracks the surplus of each service. */
export class TrafficSplitter {
  #byRoute = new Map<string, SplitState>();

  /**
   * Picks the service for a request.
   *
   * @param affinityHash Hash of the affinity key, or a random 32-bit number.
   */
  pickService(route: Route, affinityHash: number): string {
    const { parts } = route;
    if (parts.length === 1) return parts[0].service;
    const totalWeight = parts.reduce((sum, { weight }) => sum + weight, 0);
    const state = this.#stateOf(route);
    const shares = parts.map(({ weight }) => weight / totalWeight);
    const preferred = findPartIndex(shares, hashToUnitInterval(affinityHash));
    const maxSurplus = MAX_SURPLUS_REQUESTS +
      SURPLUS_FRACTION * Math.min(MAX_COUNTED_REQUESTS, state.requests);
    const chosen = state.surpluses[preferred] < maxSurplus
      ? preferred
      : findLowestSurplus(state.surpluses, shares);
    state.requests += 1;
    shares.forEach((share, i) => {
      state.surpluses[i] += (i === chosen ? 1 : 0) - share;
    });
    return parts[chosen].service;
  }

  #stateOf({ id, parts }: Route): SplitState {
    const weights = parts.map((part) => `${part.service} ${part.weight}`)
      .join();
    let state = this.#byRoute.get(id);
    if (state === undefined || state.weights !== weights) {
      state = { surpluses: parts.map(() => 0), weights, requests: 0 };
      this.#byRoute.set(id, state);
    }
    return state;
  }
}

/**
 * Returns the index of the part whose share of the range from 0 to 1 covers a
 * position.
 */
function findPartIndex(shares: readonly number[], position: number): number {
  let sum = 0;
  for (let i = 0; i < shares.length; i++) {
    sum += shares[i];
    if (position < sum) return i;
  }
  return shares.findLastIndex((share) => share > 0);
}

/** Returns the index of the lowest surplus among parts with a share. */
function findLowestSurplus(
  surpluses: readonly number[],
  shares: readonly number[],
): number {
  let lowest = -1;
  for (let i = 0; i < surpluses.length; i++) {
    if (shares[i] === 0) continue;
    if (lowest < 0 || surpluses[i] < surpluses[lowest]) lowest = i;
  }
  return lowest;
}
