/**
 * Statistics of targets, routes and versions that the end of an attempt updates.
 *
 * @module
 */
import { paceRatioOf } from "../targets/pace.ts";
import type { AttemptEnd } from "../targets/types.ts";
import type { PipelineDependencies } from "./dependencies.ts";
import type { CurrentAttempt, RequestState } from "./types.ts";

/**
 * Ratio of an attempt's duration, less the expected queue wait, to the expected
 * cold service time above which the attempt counts as bad for the version.
 */
const SLOW_ATTEMPT_RATIO = 2;

/** Records the end of an attempt of a request. */
export function recordAttemptEnd(
  request: RequestState,
  { handle, candidate, startedMs, isKnownWarm }: CurrentAttempt,
  end: AttemptEnd,
  { dependencies, nowMs }: {
    dependencies: PipelineDependencies;
    nowMs: number;
  },
): void {
  const { route } = request;
  const { state } = handle;
  const attemptMs = nowMs - startedMs;
  const expectedServiceTime = dependencies.estimateServiceTime(route);
  dependencies.endAttempt(handle, end, nowMs);
  dependencies.usageCounter?.end(request.requestId, end.outcome, nowMs);
  const endPaceRatio = paceRatioOf(end.load?.pacePercent);
  // A slow machine is no fault of the version. The pace changes while an attempt
  // runs, so the slower one of its start and its end counts.
  const slowestPaceRatio = Math.max(1, candidate.paceRatio, endPaceRatio);
  const isSlow = attemptMs >
    SLOW_ATTEMPT_RATIO * slowestPaceRatio * expectedServiceTime.coldMs +
      candidate.queueWaitMs;
  const { outcome } = end;
  if (outcome === "answered") {
    const { isWarm, queueWaitMs, roundTripMs } = candidate;
    // Service times are learned as at the usual pace.
    const serviceTimeMs = Math.max(1, attemptMs - queueWaitMs - roundTripMs) /
      endPaceRatio;
    const expectedServiceTimeMs = isWarm
      ? expectedServiceTime.warmMs
      : expectedServiceTime.coldMs;
    state.recordServiceTimeRatio(serviceTimeMs / expectedServiceTimeMs, nowMs);
    // The first request for an object from this host to an assumed holder may
    // have been cold, which would distort the warm estimate.
    if (!isWarm || isKnownWarm || request.keyHash === undefined) {
      dependencies.recordServiceTime(route, serviceTimeMs, { isWarm });
    }
  }
  // Without a response, an attempt that reached no target, or lasted long because
  // this host lost its path, says nothing about the version.
  const hasResponse = outcome === "answered" || outcome === "failed";
  const isCausedByPath = outcome === "unreachable" ||
    dependencies.isTargetPathLost();
  if (!hasResponse && isCausedByPath) return;
  // A broken connection points to the target or the network and does not
  // count against the version.
  const isBad = outcome === "failed" || isSlow;
  if (isBad || outcome === "answered") {
    dependencies.recordVersionResult(request, state, { isBad });
  }
}
