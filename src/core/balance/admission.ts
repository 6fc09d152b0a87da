/**
 * Whether a request is worth its wait for a target.
 *
 * An answer after the latency objective is worth little, but it takes as much
 * of a target as one in time. When targets are overloaded, a request that
 * would be late because of the queue is refused at once, so that the ones
 * behind it are in time.
 *
 * @module
 */
import type { Candidate } from "./choose_target.ts";

/**
 * Part of the time that is left for waiting within the objective up to which
 * a request is sent. It is above 1, as the estimate of the wait is uncertain
 * and a late answer is still better than none.
 */
const WAIT_PART = 1.3;
/** The same for requests that are less urgent than others of the service. */
const YIELDING_WAIT_PART = 0.9;
/** Wait that is accepted for work that is late anyway, of the objective. */
const LATE_WAIT_PART = 0.35;

/** What is known of the request. */
export interface AdmissionInputs {
  readonly candidate: Candidate;
  /** Time left until the deadline, in milliseconds. */
  readonly remainingMs: number;
  /** Time left within the latency objective; Infinity without one. */
  readonly remainingObjectiveMs: number;
  /** Latency objective of the route; Infinity without one. */
  readonly objectiveMs: number;
  /** Whether the service has routes that are more urgent. */
  readonly isLowPriority: boolean;
}

/** A wait that is too long. */
export interface AdmissionRefusal {
  readonly why: string;
  /** Time until a retry is useful, in milliseconds. */
  readonly retryAfterMs: number;
}

/** Returns why a request is better refused, or `undefined`. */
export function checkAdmission(
  inputs: AdmissionInputs,
): AdmissionRefusal | undefined {
  const {
    candidate,
    remainingMs,
    remainingObjectiveMs: objectiveLeftMs,
    objectiveMs,
  } = inputs;
  const { queueWaitMs: waitMs, expectedResponseMs: expectedMs } = candidate;
  const spareMs = objectiveLeftMs - (expectedMs - waitMs);
  const allowedMs = Math.max(
    spareMs * (inputs.isLowPriority ? YIELDING_WAIT_PART : WAIT_PART),
    objectiveMs * LATE_WAIT_PART,
  );
  const isTooLong = waitMs > allowedMs;
  // The time of a route without an objective is a guess.
  const isKnown = objectiveMs !== Infinity;
  if (!isTooLong && !(isKnown && expectedMs > remainingMs)) return undefined;
  return {
    why: `the best target has a wait of ${Math.round(waitMs)} ms and needs ` +
      `${Math.round(expectedMs)} ms, ${Math.round(remainingMs)} ms are left`,
    retryAfterMs: Math.max(1, Math.ceil(waitMs - Math.max(0, spareMs) / 2)),
  };
}
