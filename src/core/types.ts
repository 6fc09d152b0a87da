/**
 * Types that several folders of the core share.
 *
 * @module
 */

/** Returns a random number from 0 up to, but not including, 1. */
export type Random = () => number;

/** Undoes a registration or closes a resource. */
export type Dispose = () => void;

/** Region and availability zone in which a process runs. */
export interface Locality {
  readonly availabilityZone: string;
  readonly region: string;
}
