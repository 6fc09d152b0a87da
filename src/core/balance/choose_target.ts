/**
 * Choice of the target for one request.
 *
 * A request for an object goes to the target that holds the object under
 * rendezvous hashing over the usable targets, so all hosts choose alike
 * without a message. Another target takes it when the expected time there is
 * shorter: the wait at the first one, its pace, its failures, distance and
 * the bytes that would cross regions are all expressed in milliseconds.
 *
 * @module
 */
import { rendezvousScore } from "../hash32.ts";
import type { ExpectedServiceTime } from "../targets/service_times.ts";
import type { TargetState } from "../targets/target_table.ts";
import type { Place } from "../types.ts";

/** Places in the order of an object's holders that are believed warm. */
const WARM_RANKS = 3;
/** Cost of each place, so that equal targets are used in one order. */
const RANK_COST_MS = 4;
/** A cold target works about this much slower until it is warm. */
const COLD_SLOWDOWN = 2;
/** Cost of a certain failure, as a part of the route's objective. */
const FAILURE_COST = 3;
/** Objective that is assumed for routes without one, in milliseconds. */
const DEFAULT_OBJECTIVE_MS = 500;

/** Costs that depend on where the network runs. */
export interface DistanceCosts {
  /** Round trip to another region and to another zone, in milliseconds. */
  readonly regionRoundTripMs: number;
  readonly zoneRoundTripMs: number;
  /** Price of a kibibyte that crosses, as milliseconds of waiting. */
  readonly regionMsPerKib: number;
  readonly zoneMsPerKib: number;
}

/** What is to be sent. */
export interface SelectionInputs {
  /** Hash of the object; `undefined` when the route has no affinity. */
  readonly keyHash: number | undefined;
  readonly serviceTime: ExpectedServiceTime;
  /** Latency objective of the route; 0 without one. */
  readonly objectiveMs: number;
  /** Bytes of the request and of the answer that is expected. */
  readonly bytes: number;
  /** Weight of targets in the own region as holders of objects. */
  readonly localityWeight: number;
  /** Where this host runs. */
  readonly hostPlace: Place;
}

/** A target that may be chosen, with the estimate for the request. */
export interface Candidate {
  readonly state: TargetState;
  /** Time until an answer, without the costs that are no time. */
  readonly expectedResponseMs: number;
  readonly queueWaitMs: number;
  /** Time on the network, as part of it. */
  readonly roundTripMs: number;
  /** Whether the target is believed to hold the object. */
  readonly isWarm: boolean;
  /** Place in the order of the object's holders, from 0. */
  readonly holderRank: number;
  /** What decides; the lowest is chosen. */
  readonly costMs: number;
}

/**
 * Returns the usable target with the lowest cost, or `undefined` when there
 * is none.
 *
 * @param usable Targets that may take the request.
 */
export function chooseTarget(
  usable: readonly TargetState[],
  wish: SelectionInputs,
  costs: DistanceCosts,
  nowMs: number,
): Candidate | undefined {
  const holders = findHolders(usable, wish);
  let best: Candidate | undefined;
  for (const state of usable) {
    const place = holders.indexOf(state);
    const rank = place < 0 ? WARM_RANKS : place;
    const candidate = estimate(state, { wish, costs, rank, nowMs });
    if (best === undefined || candidate.costMs < best.costMs) best = candidate;
  }
  return best;
}

/** The first holders of an object, by score. */
function findHolders(
  usable: readonly TargetState[],
  { keyHash, localityWeight: nearWeight, hostPlace: from }: SelectionInputs,
): TargetState[] {
  if (keyHash === undefined) return [];
  const first: { state: TargetState; score: number }[] = [];
  for (const state of usable) {
    const { slots, region } = state.target;
    const weight = region === from.region ? slots * nearWeight : slots;
    const score = rendezvousScore(keyHash, state.hash, weight);
    const last = first[WARM_RANKS - 1];
    if (last !== undefined && last.score >= score) continue;
    let at = first.length;
    while (at > 0 && first[at - 1].score < score) at -= 1;
    first.splice(at, 0, { state, score });
    first.length = Math.min(first.length, WARM_RANKS);
  }
  return first.map(({ state }) => state);
}

function estimate(
  state: TargetState,
  { wish, costs, rank, nowMs }: {
    wish: SelectionInputs;
    costs: DistanceCosts;
    rank: number;
    nowMs: number;
  },
): Candidate {
  const { keyHash, serviceTime: expected, bytes, hostPlace: from } = wish;
  const warm = keyHash === undefined || rank === 0 ||
    (rank < WARM_RANKS && state.warmKeys.has(keyHash));
  const slowdown = state.serviceTimeRatio(nowMs) *
    (state.isInColdStart(nowMs) ? COLD_SLOWDOWN : 1);
  const waitMs = state.load.queueWaitMs(expected.warmMs * slowdown, nowMs);
  const workMs = (warm ? expected.warmMs : expected.coldMs) * slowdown;
  const { region, availabilityZone } = state.target;
  let roundTripMs = 0;
  let msPerKib = 0;
  if (region !== from.region) {
    roundTripMs = costs.regionRoundTripMs;
    msPerKib = costs.regionMsPerKib;
  } else if (availabilityZone !== from.availabilityZone) {
    roundTripMs = costs.zoneRoundTripMs;
    msPerKib = costs.zoneMsPerKib;
  }
  const expectedMs = waitMs + workMs + roundTripMs;
  const objectiveMs = wish.objectiveMs || DEFAULT_OBJECTIVE_MS;
  const failureMs = state.health.failureFraction(nowMs) * FAILURE_COST *
    objectiveMs;
  const costMs = expectedMs + rank * RANK_COST_MS + failureMs +
    msPerKib * bytes / 1_024;
  return {
    state,
    expectedResponseMs: expectedMs,
    queueWaitMs: waitMs,
    roundTripMs,
    isWarm: warm,
    holderRank: rank,
    costMs,
  };
}
