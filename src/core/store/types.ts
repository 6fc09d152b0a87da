/**
 * Types of the objects that the store holds.
 *
 * @module
 */

/** Kinds of objects that hosts follow. */
export const OBJECT_KINDS = [
  "document",
  "targets",
  "releases",
  "evacuations",
  "hosts",
] as const;

/** Kind of an object. */
export type ObjectKind = typeof OBJECT_KINDS[number];

/** An object as the store holds it. */
export interface StoredObject {
  readonly name: string;
  /** Revision of the store at its last change. */
  readonly revision: number;
  /** What its author wrote. */
  readonly specification: unknown;
  /** What the system that carries it out wrote. */
  readonly status: unknown;
}

/** A change of an object. */
export interface StoreChange {
  readonly object: StoredObject;
  readonly removed: boolean;
}

/** Objects of a kind that differ from an earlier revision. */
export interface KindDelta {
  /** Whether `objects` are all objects of the kind. */
  readonly isSnapshot: boolean;
  readonly objects: readonly StoredObject[];
  /** Names of objects that were removed. */
  readonly removed: readonly string[];
  /** Revision up to which the delta leads. */
  readonly revision: number;
}
