/**
 * Types of the objects that the store holds.
 *
 * @module
 */

import type { StorePosition } from "./position.ts";

/** Kinds of objects in the store that hosts replicate. */
export const OBJECT_KINDS = [
  "document",
  "targets",
  "releases",
  "evacuations",
  "hosts",
] as const;

/** Kind of an object in the store. */
export type ObjectKind = typeof OBJECT_KINDS[number];

/** An object of the store. */
export interface StoredObject {
  readonly name: string;
  /** Revision of the object's last change, in the epoch of its view. */
  readonly revision: number;
  /** Content as its author wrote it. */
  readonly specification: unknown;
  /** Progress, written by the system that acts on the specification. */
  readonly status: unknown;
}

/** A change of an object. */
export interface StoreChange {
  readonly object: StoredObject;
  readonly removed: boolean;
}

/** All objects of a kind as of a position. */
export interface StoreList {
  readonly objects: readonly StoredObject[];
  readonly position: StorePosition;
}

/** All changes of a kind up to a position. */
export interface StoreChanges {
  readonly changes: readonly StoreChange[];
  readonly position: StorePosition;
}

/** Objects of a kind that differ from an earlier revision. */
export interface KindDelta {
  /** Whether `objects` holds all objects of the kind. */
  readonly isSnapshot: boolean;
  readonly objects: readonly StoredObject[];
  /** Names of objects that were removed; empty in a snapshot. */
  readonly removed: readonly string[];
  /** Position of the kind after the delta was applied. */
  readonly position: StorePosition;
}
