/**
 * Types that several parts of the core share.
 *
 * @module
 */

/** Returns a number from 0 up to 1. */
export type Random = () => number;

/** Undoes a registration or closes what was opened. */
export type Dispose = () => void;

/** Where a process or a target runs. */
export interface Place {
  readonly availabilityZone: string;
  readonly region: string;
}
