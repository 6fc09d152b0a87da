/**
 * Whether the wait for a target is worth it.
 *
 * @module
 */
import type { Candidate } from "./choose_target.ts";

/** What is known of the request. */
export interface AdmissionInputs {
  readonly candidate: Candidate;
  /** Time left until the deadline, in milliseconds. */
  readonly remainingMs: number;
}

/**
 * Returns why a request is better refused at once, so that its caller can try
 * elsewhere or later, or `undefined` when it is worth sending.
 */
export function findLateness(
  { candidate, remainingMs }: AdmissionInputs,
): string | undefined {
  const { expectedMs } = candidate;
  if (expectedMs <= remainingMs) return undefined;
  return `the best target needs ${Math.round(expectedMs)} ms, ` +
    `${Math.round(remainingMs)} ms are left`;
}
