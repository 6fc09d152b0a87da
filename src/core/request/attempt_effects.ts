/**
 * Effects that start an attempt, and the refusal when there is no target.
 *
 * @module
 */
import type { Candidate } from "../balance/choose_target.ts";
import type { HostAddress } from "../membership/types.ts";
import type { PipelineDependencies } from "./dependencies.ts";
import type { RefusalReason, RequestEffect, RequestState } from "./types.ts";

/**
 * Creates the effect that sends a request to the target of its last attempt.
 *
 * @param options `usable` is the number of targets to choose from.
 */
export function createSendEffect(
  { requestId, route, organisation, deadlineMs, triedTargetIds }: RequestState,
  { candidate, usable }: { candidate: Candidate; usable: number },
  nowMs: number,
): RequestEffect {
  const { target, load: { lastKnownMs } } = candidate.state;
  return {
    type: "send",
    requestId,
    target,
    route,
    organisation: organisation?.id ?? "",
    remainingMs: deadlineMs - nowMs,
    decision: {
      attempt: triedTargetIds.length,
      rank: candidate.holderRank,
      warm: candidate.isWarm,
      waitMs: Math.round(candidate.queueWaitMs),
      expectedMs: Math.round(candidate.expectedResponseMs),
      usable,
      loadAgeMs: lastKnownMs === -Infinity
        ? -1
        : Math.round(nowMs - lastKnownMs),
      pacePercent: Math.round(100 * candidate.paceRatio),
    },
  };
}

/** Creates the effect that sends a request to another host. */
export function createRelayEffect(
  request: RequestState,
  host: HostAddress,
  nowMs: number,
): RequestEffect {
  return {
    type: "relay",
    requestId: request.requestId,
    host,
    route: request.route,
    organisation: request.organisation?.id ?? "",
    remainingMs: request.deadlineMs - nowMs,
    // The attempt on the other host is counted, and it makes one itself.
    maxAttempts: request.maxAttempts - request.countedAttempts + 1,
    attempt: request.triedTargetIds.length + request.triedRelayHostIds.length,
  };
}

/** Returns why a request without a usable target is refused. */
export function explainNoTarget(
  request: RequestState,
  dependencies: PipelineDependencies,
  nowMs: number,
): RefusalReason {
  const statedDelayMs = dependencies.findStatedDelayMs(request, nowMs);
  if (statedDelayMs === undefined) {
    const reason = `service ${request.service} has no usable target`;
    return { kind: "no_target", reason };
  }
  return {
    kind: "no_room",
    reason: "all usable targets state a limit or want no requests for a time",
    // Another host may be able to send sooner than the default delay.
    retryAfterMs: statedDelayMs === Infinity
      ? undefined
      : Math.ceil(statedDelayMs),
  };
}
