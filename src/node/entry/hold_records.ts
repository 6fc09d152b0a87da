/**
 * Log lines and metrics of the requests that this host holds until a target has
 * a free slot.
 *
 * @module
 */
import type { RequestEffect } from "../../core/request/types.ts";
import type { Log } from "../telemetry/log.ts";
import type { Metrics } from "../telemetry/metrics.ts";

type HoldEffect = Extract<RequestEffect, { type: "hold" }>;
type HoldEndedEffect = Extract<RequestEffect, { type: "hold_ended" }>;

/** Logs that a request is held. */
export function recordHold(
  { type: _, requestId: _id, ...fields }: HoldEffect,
  callerRequestId: string,
  { log }: { log: Log },
): void {
  log.request("held", { request: callerRequestId, ...fields }, false);
}

/**
 * Logs and counts the end of a hold.
 *
 * @param callerRequestId `undefined` if the caller has left.
 */
export function recordHoldEnd(
  { type: _, requestId: _id, ...fields }: HoldEndedEffect,
  callerRequestId: string | undefined,
  { log, metrics }: { log: Log; metrics: Metrics },
): void {
  const { service, routeId, heldMs, outcome } = fields;
  metrics.holdsEnded.inc({ service, outcome });
  metrics.heldSeconds.observe({ route: routeId }, heldMs / 1_000);
  // The caller's own line tells that it left.
  if (callerRequestId === undefined) return;
  log.request(
    "hold_ended",
    { request: callerRequestId, ...fields },
    outcome !== "sent",
  );
}
