/**
 * Detection of targets that respond to no request.
 *
 * @module
 */
import type { CurrentAttempt } from "./types.ts";

/** Shortest time without a response after which a connection check starts. */
const MIN_SILENCE_MS = 600;
/**
 * Ratio of the time without a response to the expected time until the response
 * above which a connection check starts.
 */
const SILENCE_EXPECTED_TIME_RATIO = 4;

/**
 * Whether the target has responded to no request since the attempt started,
 * and for so long that its connection should be checked.
 */
export function isTargetSilent(
  { candidate, startedMs, handle }: CurrentAttempt,
  nowMs: number,
): boolean {
  const maxSilenceMs = Math.max(
    MIN_SILENCE_MS,
    SILENCE_EXPECTED_TIME_RATIO * candidate.expectedResponseMs,
  );
  return nowMs - startedMs >= maxSilenceMs &&
    handle.state.health.lastResponseMs < startedMs;
}
