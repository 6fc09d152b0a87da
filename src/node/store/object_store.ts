/**
 * The port through which a host uses the platform's store.
 *
 * @module
 */
import type {
  ObjectKind,
  StoreChange,
  StoredObject,
} from "../../core/store/types.ts";

/** Why a call has no result. */
export type StoreErrorKind =
  /** The store refused the call, so nothing was done. */
  | "refused"
  /** No answer came; a write may have been carried out, or may be later. */
  | "unanswered"
  /** The store has forgotten the history that a watch asked for. */
  | "compacted"
  /** The object is not at the revision that the call named. */
  | "conflict"
  /** There is no such object. */
  | "absent";

/** A call to the store failed. */
export class StoreError extends Error {
  readonly kind: StoreErrorKind;

  constructor(kind: StoreErrorKind, message: string) {
    super(message);
    this.kind = kind;
  }
}

/** Objects of a kind as of a revision. */
export interface StoreList {
  readonly objects: readonly StoredObject[];
  readonly revision: number;
}

/** Changes that lead to a revision. */
export interface StoreChanges {
  readonly changes: readonly StoreChange[];
  readonly revision: number;
}

/** Calls to the store. Each rejects with a `StoreError`. */
export interface ObjectStore {
  /**
   * Lists all objects of a kind.
   *
   * @param options `stale` allows an answer that is seconds old and costs
   * less.
   */
  list(
    kind: ObjectKind,
    options?: { allowStale?: boolean },
  ): Promise<StoreList>;
  /**
   * Waits for changes of a kind after a revision, at most `waitMs`.
   */
  watch(
    kind: ObjectKind,
    revision: number,
    options: { waitMs: number; signal: AbortSignal },
  ): Promise<StoreChanges>;
  /** Creates an object or replaces what its author wrote. */
  put(kind: ObjectKind, name: string, specification: unknown): Promise<void>;
  /** Replaces the status of an object that is at a revision. */
  putStatus(
    kind: ObjectKind,
    name: string,
    status: unknown,
    revision: number,
  ): Promise<void>;
  /** Removes an object; one that is absent already is no error. */
  remove(kind: ObjectKind, name: string): Promise<void>;
  /** Checks whether the store answers, at little cost. */
  probe(): Promise<void>;
  /** Closes the connections. */
  close(): void;
}
