/**
 * Reducer for the requests of one host, from arrival to response. The shell
 * passes events and carries out the effects that the reducer returns.
 *
 * @module
 */
import { CrashAttribution } from "../crashes/crash_attribution.ts";
import { QUEUE_BOUNDS } from "../queue/hold_decision.ts";
import { RequestQueue } from "../queue/request_queue.ts";
import type { PipelineDependencies } from "./dependencies.ts";
import { PipelineTransition } from "./transition.ts";
import type { RequestEffect, RequestEvent, RequestState } from "./types.ts";

/** State of the request pipeline, changed in place by the reducer. */
export interface PipelineState {
  /** Requests in progress by their identifiers. */
  readonly requests: Map<number, RequestState>;
  readonly crashAttribution: CrashAttribution;
  /** Requests that are held until a target has a free slot. */
  readonly queue: RequestQueue;
}

/** Creates the state of a pipeline without requests. */
export function createPipelineState(): PipelineState {
  return {
    requests: new Map(),
    crashAttribution: new CrashAttribution(),
    queue: new RequestQueue({ bounds: QUEUE_BOUNDS }),
  };
}

/** Applies an event to the state and returns the effects in their order. */
export function reduceRequest(
  state: PipelineState,
  event: RequestEvent,
  nowMs: number,
  dependencies: PipelineDependencies,
): RequestEffect[] {
  const transition = new PipelineTransition(state, nowMs, dependencies);
  switch (event.type) {
    case "request_arrived":
      transition.handleArrival(event.incoming);
      break;
    case "body_ready":
      transition.handleBodyReady(event);
      break;
    case "body_too_large":
      transition.refuseBody(event.requestId, {
        kind: "body_too_large",
        reason: "the body exceeds the size limit",
      });
      break;
    case "body_memory_full":
      transition.refuseBody(event.requestId, {
        kind: "host_full",
        reason: "the memory for request bodies is used up",
      });
      break;
    case "target_stated":
      transition.handleStatement(event.requestId, event.statement);
      break;
    case "response_started": {
      const request = state.requests.get(event.requestId);
      if (request !== undefined) request.hasResponseStarted = true;
      break;
    }
    case "attempt_ended":
      transition.handleAttemptEnd(event);
      break;
    case "caller_disconnected":
    case "request_failed":
      transition.cancelRequest(event.requestId);
      break;
    case "connection_refused":
      transition.handleConnectionRefused(event.targetId);
      break;
    case "suspicion_received":
      state.crashAttribution.recordReportedCrash(
        event.fingerprint,
        event,
        nowMs,
      );
      break;
    case "tick":
      transition.handleTick();
  }
  return transition.effects;
}
