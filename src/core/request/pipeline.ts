/**
 * The way of a request from its arrival to its end, without input or output.
 *
 * @module
 */
import { CrashAttribution } from "../crashes/crash_attribution.ts";
import { Step } from "./step.ts";
import type { PipelineParts } from "./parts.ts";
import type { RequestEffect, RequestEvent, RequestState } from "./types.ts";

/** Requests in progress on one host. */
export interface PipelineState {
  readonly requests: Map<number, RequestState>;
  readonly blame: CrashAttribution;
}

/** Creates the state of a host without requests. */
export function createPipeline(): PipelineState {
  return { requests: new Map(), blame: new CrashAttribution() };
}

/** Applies an event and returns what the shell has to do. */
export function reduceRequest(
  state: PipelineState,
  event: RequestEvent,
  nowMs: number,
  parts: PipelineParts,
): RequestEffect[] {
  const step = new Step(state, nowMs, parts);
  switch (event.type) {
    case "arrived":
      step.arrive(event.arrival);
      break;
    case "body_ready":
      step.startBody(event);
      break;
    case "body_too_large":
      step.refuseBody(event.requestId);
      break;
    case "answer_started": {
      const request = state.requests.get(event.requestId);
      if (request !== undefined) request.answerStarted = true;
      break;
    }
    case "attempt_ended":
      step.endAttempt(event);
      break;
    case "caller_gone":
      step.dropCaller(event.requestId);
      break;
    case "target_refused":
      step.noteRefused(event.targetId);
      break;
    case "suspicion_learned":
      state.blame.recordReportedCrash(event.fingerprint, event.targetId, nowMs);
      break;
    case "tick":
      step.expire();
  }
  return step.effects;
}
