/**
 * Port for the platform's store. The adapter of a platform implements it.
 *
 * @module
 */
import type {
  ObjectKind,
  StoreChanges,
  StoredObject,
  StoreList,
} from "../../core/store/types.ts";

/**
 * Kinds of objects that no host watches; those that need one read it.
 */
export type UnwatchedKind = "duties";

/** Reason why a call failed. */
export type StoreErrorKind =
  /**
   * The store refused the call without executing it. A write that was sent
   * twice may have been executed the first time.
   */
  | "refused"
  /** No response arrived; a write may have been executed, or may be later. */
  | "unanswered"
  /**
   * The changes that a watch asks for cannot be had: the store has compacted
   * their history, or they are more than a client keeps.
   */
  | "compacted"
  /** The object's revision differs from the one in the call. */
  | "conflict"
  /** The object does not exist. */
  | "absent";

/** Error of a call to the store. */
export class StoreError extends Error {
  readonly kind: StoreErrorKind;

  constructor(kind: StoreErrorKind, message: string) {
    super(message);
    this.kind = kind;
  }
}

/**
 * Client of the store. A call that fails rejects with a `StoreError`.
 *
 * No answer on a connection that was used before tells nothing about the store:
 * such a call is sent again on a new connection within its timeout, and only if
 * that gets no answer either does the call count as unanswered. So a write may
 * be executed twice, and the first one late. All writes bear that: `put` and
 * `remove` have the same result each time, and `putStatus` and `replace` have a
 * revision as their precondition.
 */
export interface ObjectStore {
  /**
   * Lists all objects of a kind. The list holds all changes up to its position,
   * however many calls it takes.
   *
   * @param options `acceptStale` accepts a response that is a few seconds old,
   * which costs the store less. Default: false.
   */
  list(
    kind: ObjectKind,
    options?: { acceptStale?: boolean },
  ): Promise<StoreList>;
  /**
   * Waits for changes of a kind after a revision. The position of the result
   * tells whether the store was restored since.
   *
   * @param options `waitMs` limits the wait; without changes in this time, the
   * result is empty. `signal` aborts the call. `isUrgent` shortens the timeouts
   * of a call that does not wait. Default: false.
   */
  watch(
    kind: ObjectKind,
    revision: number,
    options: { waitMs: number; signal: AbortSignal; isUrgent?: boolean },
  ): Promise<StoreChanges>;
  /** Creates an object or replaces its specification. */
  put(kind: ObjectKind, name: string, specification: unknown): Promise<void>;
  /**
   * Replaces the status of an object if it is still at a revision. When the call
   * was sent twice and the object has another revision by then, it succeeds if
   * the object has the status that was to be written, as it does if the first
   * write was executed.
   */
  putStatus(
    kind: ObjectKind,
    name: string,
    status: unknown,
    revision: number,
  ): Promise<void>;
  /** Reads an object; `undefined` if it does not exist. */
  read(kind: UnwatchedKind, name: string): Promise<StoredObject | undefined>;
  /**
   * Replaces the specification of an object if it is still at a revision, or
   * creates it if the revision is `undefined` and the object does not exist. A
   * `conflict` does not tell whether this call, sent twice, has replaced it.
   *
   * @returns The new revision.
   */
  replace(
    kind: UnwatchedKind,
    name: string,
    specification: unknown,
    revision: number | undefined,
  ): Promise<number>;
  /** Removes an object; does nothing if it does not exist. */
  remove(kind: ObjectKind, name: string): Promise<void>;
  /** Closes the connections to the store. */
  close(): void;
}
