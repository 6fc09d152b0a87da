/**
 * Keeps a replica of one kind of objects up to date: lists the objects, then
 * watches for changes since the revision of the list. Lists again when the
 * store has compacted the history since then or was restored from a copy.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import type { KindView, ViewChanges } from "../../core/store/kind_view.ts";
import { isLater, type StorePosition } from "../../core/store/position.ts";
import type { ObjectKind } from "../../core/store/types.ts";
import type { Random } from "../../core/types.ts";
import { type ObjectStore, StoreError } from "./object_store.ts";

/** Wait of a watch that only fetches changes that exist already. */
const CATCH_UP_WAIT_MS = 0;
/** Time between two lists in the mode `list`, and the delay of an idle step. */
const LIST_INTERVAL_MS = 10_000;
/**
 * Delay of the next watch after a response with changes, so that one response
 * carries several. It adds to the propagation time of a change, which must stay
 * below two seconds.
 */
const BATCH_DELAY_MS = 350;
/**
 * Least time between the starts of two watches when the first one was cut off,
 * for a store that cuts off watches at once.
 */
const MIN_CUT_WATCH_INTERVAL_MS = 500;
/** Bounds of the exponential back-off after a failed call. */
const MIN_BACK_OFF_MS = 150;
const MAX_BACK_OFF_MS = 1_000;
/** Failures in a row as which one failed call to confirm a view counts. */
const CONFIRM_FAILURES = 4;

/** Source of the updates after the first list. */
export type FollowMode =
  /** Watches of the store. */
  | "watch"
  /** Periodic lists, which may be stale and cost the store less. */
  | "list"
  /** Changes that other hosts forward; the store is not called. */
  | "peers";

/** Options of a `KindFollower`. */
export interface KindFollowerOptions {
  readonly kind: ObjectKind;
  readonly mode: FollowMode;
  readonly view: KindView;
  readonly store: ObjectStore;
  readonly random: Random;
  readonly nowMs: () => number;
  /** Returns the longest wait of the next watch, in milliseconds. */
  readonly watchWaitMs: () => number;
  /**
   * Called after each update of the view. `previous` is the position of the
   * newest change before the update; `undefined` for the first list.
   */
  readonly onChanges: (changes: ViewChanges, previous?: StorePosition) => void;
  /** Called with the position of a response that is older than its call. */
  readonly onOutdated: (position: StorePosition) => void;
  /** Called when the history that a watch needs is lost. */
  readonly onHistoryLost: () => void;
  /** Called with each response of the store. */
  readonly onResponse: () => void;
  /** Called with a time as of which the view holds all changes. */
  readonly onConfirmed: (completeMs: number) => void;
  /** Called when a call had no usable response. */
  readonly onFailure: (error: StoreError) => void;
  /** Called with an error that is no failure of a call. */
  readonly onUnexpectedError: (error: unknown) => void;
}

/** Updates a view of one kind from the store. */
export class KindFollower {
  readonly #options: KindFollowerOptions;
  readonly #stopController = new AbortController();
  #mode: FollowMode;
  #wakeController = new AbortController();
  #failureCount = 0;
  /** Watches in a row whose history was lost. */
  #lostHistoryCount = 0;
  #mustList = true;
  #mustCatchUp = false;
  #isConfirming = false;
  /** Time before which no call is made to confirm the view. */
  #confirmNotBeforeMs = -Infinity;
  /** Start of the watch that waits for changes; `undefined` without one. */
  #waitingSinceMs: number | undefined;
  /** Whether the store was restored since the last list. */
  #isRestored = false;

  constructor(options: KindFollowerOptions) {
    this.#options = options;
    this.#mode = options.mode;
  }

  /** Starts the updates. Returns a function that stops them. */
  start(): () => void {
    this.#run();
    return () => {
      this.#stopController.abort();
      this.#wakeController.abort();
    };
  }

  setMode(mode: FollowMode): void {
    if (mode === this.#mode) return;
    this.#mode = mode;
    this.#wakeController.abort();
  }

  /** Replaces a watch that waits, when `watchWaitMs` returns another wait. */
  renewWatch(): void {
    if (this.#waitingSinceMs !== undefined) this.#wakeController.abort();
  }

  /**
   * Fetches changes from the store, when another host holds later ones or the
   * store has recovered: at once, or after the back-off if the last call has
   * failed. A store that answers the calls for one kind and refuses those for
   * another would otherwise get calls without a pause.
   */
  catchUp(): void {
    this.#mustCatchUp = true;
    if (this.#failureCount === 0) this.#wakeController.abort();
  }

  /**
   * Asks the store at once whether the view holds all changes, beside a watch
   * that waits, and applies those that it lacks. Does nothing while such a call
   * is in progress and for a time after one has failed.
   */
  async confirm(): Promise<void> {
    const { view, nowMs, onResponse, onFailure } = this.#options;
    const startMs = nowMs();
    const mayCall = !this.#isConfirming && !view.isEmpty && !this.#mustList &&
      startMs >= this.#confirmNotBeforeMs;
    if (!mayCall) return;
    this.#isConfirming = true;
    try {
      await this.#callToConfirm(startMs);
    } catch (error) {
      if (this.#stopController.signal.aborted) return;
      this.#confirmNotBeforeMs = nowMs() + this.#backOffMs(CONFIRM_FAILURES);
      if (!(error instanceof StoreError)) {
        return this.#options.onUnexpectedError(error);
      }
      if (error.kind !== "compacted") return onFailure(error);
      onResponse();
      this.#options.onHistoryLost();
      this.#mustList = true;
      this.#wakeController.abort();
    } finally {
      this.#isConfirming = false;
    }
  }

  async #callToConfirm(startMs: number): Promise<void> {
    const { kind, store, view, onResponse, onConfirmed, onChanges } =
      this.#options;
    const since = view.position;
    const { changes, position } = await store.watch(kind, since.revision, {
      waitMs: 0,
      signal: this.#stopController.signal,
      isUrgent: true,
    });
    onResponse();
    // A list, which the new epoch asks for, tells what the view lacks.
    if (position.epoch !== view.position.epoch || isLater(since, position)) {
      return;
    }
    const previous = view.changedPosition;
    const viewChanges = view.applyChanges(changes, position);
    onConfirmed(startMs);
    onChanges(viewChanges, previous);
  }

  /** Lists the objects at once, as the store was restored from a copy. */
  relist(): void {
    this.#mustList = true;
    this.#isRestored = true;
    this.#wakeController.abort();
  }

  async #run(): Promise<void> {
    while (!this.#stopController.signal.aborted) {
      this.#wakeController = new AbortController();
      const delayMs = await this.#step();
      if (delayMs <= 0) continue;
      await sleep(delayMs, undefined, { signal: this.#wakeController.signal })
        .catch(() => {});
    }
  }

  /** Makes one call unless idle. Returns the delay of the next step. */
  async #step(): Promise<number> {
    const { onResponse, onFailure, onChanges, view } = this.#options;
    const { signal } = this.#wakeController;
    const isIdle = this.#mode === "peers" && !this.#mustList &&
      !this.#mustCatchUp;
    if (isIdle) return LIST_INTERVAL_MS;
    const previous = view.isEmpty ? undefined : view.changedPosition;
    try {
      const changes = await this.#call(signal);
      this.#failureCount = 0;
      onResponse();
      onChanges(changes, previous);
      if (this.#mode === "list") return LIST_INTERVAL_MS;
      return changes.changed.length + changes.removed.length > 0
        ? BATCH_DELAY_MS
        : 0;
    } catch (error) {
      if (signal.aborted) return 0;
      if (!(error instanceof StoreError)) {
        // Without another step, the view would stay outdated for good.
        this.#options.onUnexpectedError(error);
        this.#failureCount += 1;
        return this.#backOffMs(this.#failureCount);
      }
      if (error.kind === "compacted") {
        onResponse();
        this.#options.onHistoryLost();
        this.#mustList = true;
        // A list that does not help is not repeated at once.
        const delayMs = this.#lostHistoryCount === 0
          ? 0
          : this.#backOffMs(this.#lostHistoryCount);
        this.#lostHistoryCount += 1;
        return delayMs;
      }
      const sinceMs = this.#waitingSinceMs;
      const isCutOff = error.kind === "unanswered" && sinceMs !== undefined;
      if (isCutOff && this.#failureCount === 0) {
        // The store may cut off a watch that waits and work all the while. The
        // next call tells whether it has failed.
        this.#mustCatchUp = true;
        const watchedForMs = this.#options.nowMs() - sinceMs;
        return Math.max(0, MIN_CUT_WATCH_INTERVAL_MS - watchedForMs);
      }
      onFailure(error);
      this.#failureCount += 1;
      return this.#backOffMs(this.#failureCount);
    } finally {
      this.#waitingSinceMs = undefined;
    }
  }

  async #call(signal: AbortSignal): Promise<ViewChanges> {
    const { view } = this.#options;
    if (this.#mustList || this.#mode === "list") return await this.#list();
    const { kind, store, onOutdated, onConfirmed, nowMs } = this.#options;
    const waitMs = this.#mustCatchUp
      ? CATCH_UP_WAIT_MS
      : this.#options.watchWaitMs();
    const since = view.position;
    const startMs = nowMs();
    if (waitMs > 0) this.#waitingSinceMs = startMs;
    const { changes, position } = await store.watch(kind, since.revision, {
      waitMs,
      signal,
    });
    this.#mustCatchUp = false;
    this.#lostHistoryCount = 0;
    if (isLater(since, position)) onOutdated(position);
    // Changes since a revision of another epoch may be incomplete.
    if (position.epoch > view.position.epoch) this.#mustList = true;
    const viewChanges = view.applyChanges(changes, position);
    if (position.epoch === view.position.epoch && !isLater(since, position)) {
      // The store answers a watch without changes at the end of its wait.
      const hasWaited = changes.length === 0 && nowMs() - startMs >= waitMs;
      onConfirmed(hasWaited ? startMs + waitMs : startMs);
    }
    return viewChanges;
  }

  async #list(): Promise<ViewChanges> {
    const { kind, view, store, onOutdated, onConfirmed, nowMs } = this.#options;
    // Only hosts are listed periodically, and a new host reports itself soon,
    // so the list may be stale.
    const acceptStale = this.#mode === "list" && !this.#isRestored;
    const wasRestored = this.#isRestored;
    this.#mustList = false;
    this.#isRestored = false;
    const startMs = nowMs();
    try {
      const { objects, position } = await store.list(kind, { acceptStale });
      const isOutdated = isLater(view.position, position);
      if (!acceptStale && isOutdated) onOutdated(position);
      const viewChanges = view.applyList(objects, position, nowMs());
      if (!acceptStale && !isOutdated) onConfirmed(startMs);
      return viewChanges;
    } catch (error) {
      this.#mustList = true;
      this.#isRestored ||= wasRestored;
      throw error;
    }
  }

  /** @param count Failures in a row, at least 1. */
  #backOffMs(count: number): number {
    const maxDelayMs = Math.min(
      MAX_BACK_OFF_MS,
      MIN_BACK_OFF_MS * 2 ** (count - 1),
    );
    return maxDelayMs * (0.5 + 0.5 * this.#options.random());
  }
}
