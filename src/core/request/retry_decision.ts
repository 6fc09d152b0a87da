/**
 * Decision whether a request is sent to another target after an attempt.
 *
 * @module
 */
import type { PipelineDependencies } from "./dependencies.ts";
import { provesNotRun } from "./outcomes.ts";
import type { RequestEvent, RequestState } from "./types.ts";

/**
 * Attempts that a request may make beyond the route's limit, because attempts
 * that reach no target, or the wrong one, do not count against that limit.
 */
const MAX_UNCOUNTED_ATTEMPTS = 4;

/** End of an attempt. */
export type AttemptEndedEvent = Extract<
  RequestEvent,
  { type: "attempt_ended" }
>;

/**
 * Decides whether a request may be sent to another target, and counts the
 * attempt that ended. A retry takes a token from the retry budget, except after
 * an attempt that cannot have reached its target.
 */
export function prepareRetry(
  request: RequestState,
  { end: { outcome }, mayHaveReachedTarget, canResend }: AttemptEndedEvent,
  { dependencies, nowMs }: {
    dependencies: PipelineDependencies;
    nowMs: number;
  },
): boolean {
  const { route, triedTargetIds, triedRelayHostIds, maxAttempts } = request;
  if (!canResend || request.deadlineMs <= nowMs) return false;
  const isKnownNotRun = provesNotRun(outcome, mayHaveReachedTarget);
  if (!isKnownNotRun && !route.idempotent) return false;
  // Attempts that reached no target or the wrong one do not count against
  // the route's limit.
  if (!mayHaveReachedTarget || outcome === "misdirected") {
    request.countedAttempts -= 1;
  }
  if (request.countedAttempts >= maxAttempts) return false;
  const triedCount = triedTargetIds.length + triedRelayHostIds.length;
  if (triedCount >= maxAttempts + MAX_UNCOUNTED_ATTEMPTS) return false;
  return !mayHaveReachedTarget ||
    dependencies.takeRetryToken(request.service, nowMs);
}
