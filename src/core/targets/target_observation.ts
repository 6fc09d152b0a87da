/**
 * What a host learned of the load of a target, as hosts tell each other.
 *
 * @module
 */

/** Load of a target as of one of its responses. */
export interface TargetObservation {
  /** Hash of the target's id; see `TargetState.hash`. */
  readonly targetHash: number;
  /** Requests that the target ran and that waited for a slot. */
  readonly running: number;
  readonly waiting: number;
  /**
   * Time that work takes on the target's machine, in percent of the usual; 0 if
   * the target states none.
   */
  readonly pacePercent: number;
  /** Time since the response. */
  readonly ageMs: number;
}
