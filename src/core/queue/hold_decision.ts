/**
 * Decides whether a request is sent, held or refused.
 *
 * It answers the load of a service whose targets are all busy. A request that
 * is sent then waits at its target behind whatever came before it, and can no
 * longer be overtaken by a more urgent one nor take a slot that becomes free
 * elsewhere; a request that can't be in time takes a slot from one that can.
 *
 * @module
 */
import type { Route } from "../document/document.ts";
import type { QueueBounds } from "./types.ts";

/**
 * Queue wait up to which a request is sent, as a fraction of its service time.
 * A slot that is about to be free should find a request waiting for it, as the
 * host hears of it only after the slot is idle.
 */
const SOON_FREE_FRACTION = 0.25;
/**
 * Age up to which a load report of a target shows that it has no free slot, as
 * a fraction of the service time. In one service time, all the requests that
 * the report counts may have ended.
 */
const MAX_REPORT_AGE_FRACTION = 1;

/**
 * Bounds of the queue of a host. A host that holds more than that for long has
 * far too few targets, and a refusal lets the caller try another host. The
 * bodies take up a part of the 32 MiB that all bodies may.
 */
export const QUEUE_BOUNDS: QueueBounds = {
  maxRequests: 128,
  maxBytes: 8 * 1_024 * 1_024,
  maxWaitMs: 1_000,
};

/** Inputs of the decision. */
export interface HoldInputs {
  /** Expected wait for a slot at the best target. */
  readonly queueWaitMs: number;
  /** Expected time until the response of the best target, with the wait. */
  readonly expectedResponseMs: number;
  /** Expected time that the target works on the request. */
  readonly serviceTimeMs: number;
  /** Age of the target's last load report; Infinity without one. */
  readonly loadAgeMs: number;
  /** Whether requests of this host alone take up the slots of the target. */
  readonly isFilledByHost: boolean;
  /** Time until which a response is within the objective. */
  readonly objectiveAtMs: number;
}

/** What is done with a request for which a target was chosen. */
export type HoldDecision =
  | { readonly type: "send" }
  /** Hold it, and decide again when a slot is free or at this time. */
  | { readonly type: "hold"; readonly untilMs: number };

/**
 * Decides whether a request that was admitted is held.
 *
 * It is held only while it is known that the best target has no free slot: an
 * assumed load would leave slots idle that this request could use. It is sent
 * when a slot is expected soon, and at the latest when it would miss its
 * objective otherwise.
 */
export function decideHold(
  inputs: HoldInputs,
  nowMs: number,
): HoldDecision {
  const { queueWaitMs, expectedResponseMs, serviceTimeMs } = inputs;
  const soonMs = serviceTimeMs * SOON_FREE_FRACTION;
  if (queueWaitMs <= soonMs) return { type: "send" };
  const isLoadKnown = inputs.isFilledByHost ||
    inputs.loadAgeMs <= serviceTimeMs * MAX_REPORT_AGE_FRACTION;
  if (!isLoadKnown) return { type: "send" };
  const latestStartMs = inputs.objectiveAtMs -
    (expectedResponseMs - queueWaitMs) - soonMs;
  return latestStartMs <= nowMs
    ? { type: "send" }
    : { type: "hold", untilMs: latestStartMs };
}

/**
 * Returns the services whose requests may be held: those with a route that has
 * a latency objective.
 */
export function findHeldServices(routes: readonly Route[]): Set<string> {
  const services = new Set<string>();
  for (const { parts, objectiveMs } of routes) {
    if (objectiveMs === 0) continue;
    for (const { service, weight } of parts) {
      if (weight > 0) services.add(service);
    }
  }
  return services;
}
