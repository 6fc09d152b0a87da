/**
 * Classifies the responses of targets.
 *
 * @module
 */
import type { AttemptOutcome } from "../targets/types.ts";

/** Properties of a response that decide how an attempt ended. */
export interface ResponseSignals {
  readonly status: number;
  /** Whether the target states that it did not run the request. */
  readonly isMarkedNotRun: boolean;
  /** Whether the response has the header that only targets set. */
  readonly hasSeal: boolean;
}

/** HTTP status 421: the address belongs to another target. */
const MISDIRECTED_STATUS = 421;

/**
 * Classifies a whole response. A success without the seal does not come from
 * the target and counts as broken.
 *
 * @param requiresSeal Whether targets seal their responses.
 */
export function classifyResponse(
  { status, isMarkedNotRun, hasSeal }: ResponseSignals,
  requiresSeal: boolean,
): AttemptOutcome {
  if (status === MISDIRECTED_STATUS) return "misdirected";
  if (isMarkedNotRun) return "shed";
  if (status >= 500) return "failed";
  if (status >= 200 && status < 300 && requiresSeal && !hasSeal) {
    return "broken";
  }
  return "answered";
}

/**
 * Whether an attempt is known not to have run on its target.
 *
 * @param mayHaveReachedTarget Whether any byte of the request may have reached
 * the target.
 */
export function provesNotRun(
  outcome: AttemptOutcome,
  mayHaveReachedTarget: boolean,
): boolean {
  return outcome === "shed" || outcome === "misdirected" ||
    !mayHaveReachedTarget;
}
