/**
 * Selection of the target for a request.
 *
 * Requests for an object go to the target that holds it under rendezvous
 * hashing over the usable targets, so all hosts choose the same target without
 * exchanging messages. Another target is chosen when its cost is lower. The
 * cost of a target is the sum of queue wait, service time, failures, distance
 * and the bytes sent to another zone or region, each expressed in milliseconds.
 * While slots are short, the service time counts more, as the slot is missing for
 * other requests.
 *
 * @module
 */
import { rendezvousScore } from "../hash32.ts";
import type { ExpectedServiceTime } from "../targets/service_times.ts";
import type { TargetState } from "../targets/target_table.ts";
import type { Locality } from "../types.ts";

/**
 * Number of holders of an object: the targets with the highest rendezvous
 * scores for it. No other target is assumed to have the object in its cache.
 */
const HOLDERS_PER_OBJECT = 3;
/**
 * Number of holders that are assumed to have the object in their cache, as the
 * hosts together send them enough requests for it. A further one only has it if
 * this host has sent it such a request.
 */
const WARM_HOLDERS = 1;
/**
 * The same where targets state the pace of their machine. Objects need a second
 * holder there, as the first one is slow at times; if it was taken for cold,
 * hosts would use it too seldom to keep it warm.
 */
const WARM_HOLDERS_WITH_PACE = 2;
/** Cost per holder rank, so that equal holders are preferred in rank order. */
const HOLDER_RANK_COST_MS = 4;
/** Assumed ratio of the service time in cold start to the usual one. */
const COLD_START_SLOWDOWN_RATIO = 2;
/** Ratio of the cost of a failure fraction of 1 to the latency objective. */
const FAILURE_COST_RATIO = 3;
/** Assumed latency objective of routes without one. */
const DEFAULT_OBJECTIVE_MS = 500;

/**
 * Mean occupancy of the slots up to which the time that a request takes up at a
 * target costs other requests nothing.
 */
const FREE_OCCUPANCY = 0.5;
/**
 * Cost of the time that a request takes up at a target when all slots are
 * occupied, relative to that time: a slot that works on an object that is not
 * cached is missing for two or three requests that would be in time.
 */
const PRESSURE_COST_RATIO = 3;

/** Costs of sending to another zone or region. */
export interface DistanceCosts {
  /**
   * Additional round trip to a target in another region or zone, compared to
   * one in the host's own zone, in milliseconds.
   */
  readonly regionRoundTripMs: number;
  readonly zoneRoundTripMs: number;
  /** Cost of a KiB sent to another region or zone, in milliseconds. */
  readonly regionMsPerKib: number;
  readonly zoneMsPerKib: number;
}

/** Inputs of the selection for one request, besides the targets. */
export interface SelectionInputs {
  /** Hash of service and affinity key; `undefined` without affinity. */
  readonly keyHash: number | undefined;
  readonly serviceTime: ExpectedServiceTime;
  /** Latency objective of the route, in milliseconds; 0 without one. */
  readonly objectiveMs: number;
  /** Sum of the sizes of the request and its expected response. */
  readonly transferBytes: number;
  /**
   * Factor by which the rendezvous weight of targets in the host's own region
   * is multiplied.
   */
  readonly localityWeight: number;
  /** Zone and region of this host. */
  readonly hostLocality: Locality;
}

/** A usable target with the estimates for one request. */
export interface Candidate {
  readonly state: TargetState;
  /** Expected time until the response: queue wait, service and round trip. */
  readonly expectedResponseMs: number;
  /** Part of the expected time during which the request waits for a slot. */
  readonly queueWaitMs: number;
  /** Part of the expected time that is spent on the network. */
  readonly roundTripMs: number;
  /** Whether the target is expected to have the object in its cache. */
  readonly isWarm: boolean;
  /** Expected pace of the target's machine; see `PaceEstimate.ratio`. */
  readonly paceRatio: number;
  /**
   * Rank among the holders of the object, from 0; HOLDERS_PER_OBJECT for other
   * targets and for requests without affinity.
   */
  readonly holderRank: number;
  /** Cost by which candidates are compared. */
  readonly costMs: number;
}

/**
 * Returns the usable target with the lowest cost, or `undefined` if there is
 * none.
 *
 * @param usable Targets that may receive the request.
 */
export function chooseTarget(
  usable: readonly TargetState[],
  inputs: SelectionInputs,
  costs: DistanceCosts,
  nowMs: number,
): Candidate | undefined {
  const holders = findHolders(usable, inputs);
  const pressure = computePressure(usable, nowMs);
  let best: Candidate | undefined;
  for (const state of usable) {
    const holderIndex = holders.indexOf(state);
    const holderRank = holderIndex < 0 ? HOLDERS_PER_OBJECT : holderIndex;
    const candidate = estimateCandidate(state, {
      inputs,
      costs,
      holderRank,
      pressure,
      nowMs,
    });
    if (best === undefined || candidate.costMs < best.costMs) best = candidate;
  }
  return best;
}

/**
 * Returns how short of slots the targets are, from 0 to 1: their mean occupancy
 * above `FREE_OCCUPANCY`. Hosts tell each other the loads of targets that state
 * the pace of their machine; without that, most loads are assumed, and the result
 * is 0.
 */
function computePressure(
  usable: readonly TargetState[],
  nowMs: number,
): number {
  if (!usable.some(({ pace }) => pace.isStated)) return 0;
  let occupancy = 0;
  for (const { load } of usable) {
    occupancy += Math.min(1, load.estimatedRequests(nowMs) / load.slots);
  }
  const above = occupancy / usable.length - FREE_OCCUPANCY;
  return Math.max(0, above / (1 - FREE_OCCUPANCY));
}

/** Returns the holders of an object, sorted by descending score. */
function findHolders(
  usable: readonly TargetState[],
  { keyHash, localityWeight, hostLocality }: SelectionInputs,
): TargetState[] {
  if (keyHash === undefined) return [];
  const holders: { state: TargetState; score: number }[] = [];
  for (const state of usable) {
    const { slots, region } = state.target;
    const weight = region === hostLocality.region
      ? slots * localityWeight
      : slots;
    const score = rendezvousScore(keyHash, state.hash, weight);
    const last = holders[HOLDERS_PER_OBJECT - 1];
    if (last !== undefined && last.score >= score) continue;
    let index = holders.length;
    while (index > 0 && holders[index - 1].score < score) index -= 1;
    holders.splice(index, 0, { state, score });
    holders.length = Math.min(holders.length, HOLDERS_PER_OBJECT);
  }
  return holders.map(({ state }) => state);
}

function estimateCandidate(
  state: TargetState,
  { inputs, costs, holderRank, pressure, nowMs }: {
    inputs: SelectionInputs;
    costs: DistanceCosts;
    holderRank: number;
    pressure: number;
    nowMs: number;
  },
): Candidate {
  const { keyHash, serviceTime, transferBytes, hostLocality } = inputs;
  const warmHolders = state.pace.isStated
    ? WARM_HOLDERS_WITH_PACE
    : WARM_HOLDERS;
  const isWarm = keyHash === undefined || holderRank < warmHolders ||
    (holderRank < HOLDERS_PER_OBJECT && state.warmKeys.has(keyHash));
  const paceRatio = state.pace.ratio(nowMs);
  const slowdownRatio = state.serviceTimeRatio(nowMs) * paceRatio *
    (state.isInColdStart(nowMs) ? COLD_START_SLOWDOWN_RATIO : 1);
  const queueWaitMs = state.load.queueWaitMs(
    serviceTime.warmMs * slowdownRatio,
    nowMs,
  );
  const serviceTimeMs = (isWarm ? serviceTime.warmMs : serviceTime.coldMs) *
    slowdownRatio;
  const { region, availabilityZone } = state.target;
  let roundTripMs = 0;
  let msPerKib = 0;
  if (region !== hostLocality.region) {
    roundTripMs = costs.regionRoundTripMs;
    msPerKib = costs.regionMsPerKib;
  } else if (availabilityZone !== hostLocality.availabilityZone) {
    roundTripMs = costs.zoneRoundTripMs;
    msPerKib = costs.zoneMsPerKib;
  }
  const expectedResponseMs = queueWaitMs + serviceTimeMs + roundTripMs;
  const objectiveMs = inputs.objectiveMs || DEFAULT_OBJECTIVE_MS;
  const failureCostMs = state.health.failureFraction(nowMs) *
    FAILURE_COST_RATIO *
    objectiveMs;
  const costMs = expectedResponseMs + holderRank * HOLDER_RANK_COST_MS +
    failureCostMs + pressure * PRESSURE_COST_RATIO * serviceTimeMs +
    msPerKib * transferBytes / 1_024;
  return {
    state,
    expectedResponseMs,
    queueWaitMs,
    roundTripMs,
    isWarm,
    paceRatio,
    holderRank,
    costMs,
  };
}
