/**
 * Positions in the history of the store.
 *
 * @module
 */

/**
 * A position in the history of the store. Revisions of different epochs are not
 * comparable, as a store that was restored from a copy gives them out again.
 */
export interface StorePosition {
  /** Grows each time the store is restored; 0 if the store does not state it. */
  readonly epoch: number;
  readonly revision: number;
}

/** Position of a replica before its first list. */
export const NO_POSITION: StorePosition = { epoch: 0, revision: -1 };

/** Whether a position is later than another one. */
export function isLater(a: StorePosition, b: StorePosition): boolean {
  return a.epoch > b.epoch || (a.epoch === b.epoch && a.revision > b.revision);
}
