/**
 * Admission control: refuses a request before it is sent when the queue wait
 * at the chosen target would make it miss the latency objective of its route,
 * or when its deadline would pass before the response.
 *
 * A response after the objective is of little use to the caller but costs the
 * target as much as one in time. Under overload, refusing late requests early
 * keeps the requests behind them within the objective.
 *
 * @module
 */
import type { Candidate } from "./choose_target.ts";

/**
 * Longest accepted queue wait, relative to the time that the objective leaves
 * for waiting. Above 1, because the estimated wait is uncertain and a late
 * response is still better than none.
 */
const MAX_WAIT_RATIO = 1.3;
/** The same for routes that are less urgent than others of the service. */
const LOW_PRIORITY_MAX_WAIT_RATIO = 0.9;
/**
 * Queue wait that is accepted even if the objective leaves no time for
 * waiting, as a fraction of the objective.
 */
const ALWAYS_ACCEPTED_WAIT_FRACTION = 0.35;

/** Inputs of the admission check. */
export interface AdmissionInputs {
  /** Target that the request would be sent to. */
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

/** Refusal of a request whose response would come too late. */
export interface AdmissionRefusal {
  /** Reason, for the log. */
  readonly reason: string;
  /** Time after which a retry may be admitted, in milliseconds. */
  readonly retryAfterMs: number;
}

/** Priorities that apply to a request; 0 is the most urgent. */
export interface PriorityInputs {
  readonly routePriority: number;
  /** Takes precedence over that of the route; `undefined` if not stated. */
  readonly organisationPriority: number | undefined;
  /** Priority of the service's most urgent route; `undefined` without one. */
  readonly topPriority: number | undefined;
}

/** Whether a request is less urgent than the service's most urgent route. */
export function isLowPriority(
  { routePriority, organisationPriority, topPriority }: PriorityInputs,
): boolean {
  const priority = organisationPriority ?? routePriority;
  return priority > (topPriority ?? priority);
}

/** Returns the refusal of a request, or `undefined` if it is admitted. */
export function checkAdmission(
  inputs: AdmissionInputs,
): AdmissionRefusal | undefined {
  const { candidate, remainingMs, remainingObjectiveMs, objectiveMs } = inputs;
  const { queueWaitMs, expectedResponseMs } = candidate;
  const spareMs = remainingObjectiveMs - (expectedResponseMs - queueWaitMs);
  const maxWaitMs = Math.max(
    spareMs *
      (inputs.isLowPriority ? LOW_PRIORITY_MAX_WAIT_RATIO : MAX_WAIT_RATIO),
    objectiveMs * ALWAYS_ACCEPTED_WAIT_FRACTION,
  );
  const isWaitTooLong = queueWaitMs > maxWaitMs;
  // Without an objective, the expected time rests on assumptions at first,
  // which are no reason to refuse a request.
  const hasObjective = objectiveMs !== Infinity;
  if (
    !isWaitTooLong && !(hasObjective && expectedResponseMs > remainingMs)
  ) return undefined;
  return {
    reason: `best target: queue wait ${Math.round(queueWaitMs)} ms, ` +
      `expected response after ${Math.round(expectedResponseMs)} ms, ${
        Math.round(remainingMs)
      } ms left until the deadline`,
    retryAfterMs: Math.max(
      1,
      Math.ceil(queueWaitMs - Math.max(0, spareMs) / 2),
    ),
  };
}
