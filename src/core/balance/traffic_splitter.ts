/**
 * Division of a route's requests over several services by weight.
 *
 * Requests for one object go to one service as far as the weights allow, so
 * that only that service's targets have to hold the object.
 *
 * @module
 */
import { unitOf } from "../hash32.ts";
import type { Route } from "../document/document.ts";

/** Requests by which a part may run ahead of its weight. */
const MAX_AHEAD = 3;
/** Part of the recent requests by which it may run ahead besides. */
const AHEAD_PART = 0.02;
/** Requests that count as recent. */
const RECENT_REQUESTS = 500;

interface SplitState {
  /** Requests that each part has run ahead of its weight. */
  readonly ahead: number[];
  readonly weights: string;
  requests: number;
}

/** Remembers how far each part has run ahead. */
export class TrafficSplitter {
  #byRoute = new Map<string, SplitState>();

  /**
   * Picks the service for a request.
   *
   * @param objectHash Hash of the object, or a random number without one.
   */
  pickService(route: Route, objectHash: number): string {
    const { parts } = route;
    if (parts.length === 1) return parts[0].service;
    const total = parts.reduce((sum, { weight }) => sum + weight, 0);
    const state = this.#stateOf(route);
    const shares = parts.map(({ weight }) => weight / total);
    const wanted = partAt(shares, unitOf(objectHash));
    const limit = MAX_AHEAD +
      AHEAD_PART * Math.min(RECENT_REQUESTS, state.requests);
    const chosen = state.ahead[wanted] < limit
      ? wanted
      : lowest(state.ahead, shares);
    state.requests += 1;
    shares.forEach((share, i) => {
      state.ahead[i] += (i === chosen ? 1 : 0) - share;
    });
    return parts[chosen].service;
  }

  #stateOf({ id, parts }: Route): SplitState {
    const weights = parts.map((part) => `${part.service} ${part.weight}`)
      .join();
    let state = this.#byRoute.get(id);
    if (state === undefined || state.weights !== weights) {
      state = { ahead: parts.map(() => 0), weights, requests: 0 };
      this.#byRoute.set(id, state);
    }
    return state;
  }
}

function partAt(shares: readonly number[], unit: number): number {
  let sum = 0;
  for (let i = 0; i < shares.length; i++) {
    sum += shares[i];
    if (unit < sum) return i;
  }
  return shares.findLastIndex((share) => share > 0);
}

function lowest(ahead: readonly number[], shares: readonly number[]): number {
  let at = -1;
  for (let i = 0; i < ahead.length; i++) {
    if (shares[i] === 0) continue;
    if (at < 0 || ahead[i] < ahead[at]) at = i;
  }
  return at;
}
