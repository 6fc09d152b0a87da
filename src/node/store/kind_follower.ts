/**
 * Follows one kind of objects in the store: a list first, then watches from
 * its revision, and a list again when that history is gone.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import type { KindView, ViewChanges } from "../../core/store/kind_view.ts";
import type { ObjectKind } from "../../core/store/types.ts";
import type { Random } from "../../core/types.ts";
import { type ObjectStore, StoreError } from "./object_store.ts";

/**
 * Time for which the store holds a watch. A connection that went silent is
 * noticed by other hosts' revisions, or at the end of the watch.
 */
const WATCH_TIMEOUT_MS = 12_000;
/** Time for which the store holds a call that only catches up. */
const CATCH_UP_TIMEOUT_MS = 0;
/** Time between two lists of a kind that is not watched. */
const LIST_INTERVAL_MS = 10_000;
/**
 * Pause after an answer with changes, so that one call carries many. It adds
 * to the time until a change is known, which is bounded by two seconds.
 */
const BATCH_DELAY_MS = 350;
/** Bounds of the pause after a failed call. */
const MIN_BACKOFF_MS = 150;
const MAX_BACKOFF_MS = 1_000;

/** How a kind is followed. */
export type FollowMode =
  /** By a watch that waits for changes. */
  | "watch"
  /** By lists from time to time, which may be stale and cost less. */
  | "list"
  /** By what other hosts pass on. */
  | "wait";

/** What a follower is built from. */
export interface KindFollowerOptions {
  readonly kind: ObjectKind;
  readonly mode: FollowMode;
  readonly view: KindView;
  readonly store: ObjectStore;
  readonly random: Random;
  /**
   * Told about changes, with the newest one known before; `undefined` with the
   * first list.
   */
  readonly onChanges: (news: ViewChanges, previousRevision?: number) => void;
  /** The store answered. */
  readonly onResponse: () => void;
  /** A call had no usable answer. */
  readonly onFailure: (error: StoreError) => void;
}

/** Follows a kind until it is stopped. */
export class KindFollower {
  readonly #options: KindFollowerOptions;
  readonly #stop = new AbortController();
  #mode: FollowMode;
  #wakeUp = new AbortController();
  #failureCount = 0;
  #mustList = true;
  #mustCatchUp = false;

  constructor(options: KindFollowerOptions) {
    this.#options = options;
    this.#mode = options.mode;
  }

  /** Starts to follow. Returns a function that stops it. */
  start(): () => void {
    this.#run();
    return () => {
      this.#stop.abort();
      this.#wakeUp.abort();
    };
  }

  /** Changes how the kind is followed. */
  setMode(mode: FollowMode): void {
    if (mode === this.#mode) return;
    this.#mode = mode;
    this.#wakeUp.abort();
  }

  /** Asks the store at once for changes that another host holds. */
  catchUp(): void {
    this.#mustCatchUp = true;
    this.#wakeUp.abort();
  }

  async #run(): Promise<void> {
    while (!this.#stop.signal.aborted) {
      this.#wakeUp = new AbortController();
      const delayMs = await this.#step();
      if (delayMs <= 0) continue;
      await sleep(delayMs, undefined, { signal: this.#wakeUp.signal })
        .catch(() => {});
    }
  }

  /** Makes one call if it is time. Returns the time until the next step. */
  async #step(): Promise<number> {
    const { onResponse: onAnswer, onFailure, onChanges: onNews, view } =
      this.#options;
    const { signal } = this.#wakeUp;
    const hasNothingToCall = this.#mode === "wait" && !this.#mustList &&
      !this.#mustCatchUp;
    if (hasNothingToCall) return LIST_INTERVAL_MS;
    const previousRevision = view.revision < 0
      ? undefined
      : view.changedRevision;
    try {
      const news = await this.#call(signal);
      this.#failureCount = 0;
      onAnswer();
      onNews(news, previousRevision);
      if (this.#mode === "list") return LIST_INTERVAL_MS;
      return news.changed.length + news.removed.length > 0 ? BATCH_DELAY_MS : 0;
    } catch (error) {
      if (signal.aborted) return 0;
      if (!(error instanceof StoreError)) throw error;
      if (error.kind === "compacted") {
        onAnswer();
        this.#mustList = true;
        return 0;
      }
      onFailure(error);
      return this.#nextBackoffMs();
    }
  }

  async #call(signal: AbortSignal): Promise<ViewChanges> {
    const { kind, view, store } = this.#options;
    if (this.#mustList || this.#mode === "list") {
      // Hosts are heard by themselves soon, so their list may be old.
      const allowStale = this.#mode === "list";
      const { objects, revision } = await store.list(kind, {
        allowStale: allowStale,
      });
      this.#mustList = false;
      return view.applyList(objects, revision);
    }
    const waitMs = this.#mustCatchUp ? CATCH_UP_TIMEOUT_MS : WATCH_TIMEOUT_MS;
    const { changes, revision } = await store.watch(kind, view.revision, {
      waitMs,
      signal,
    });
    this.#mustCatchUp = false;
    return view.applyChanges(changes, revision);
  }

  #nextBackoffMs(): number {
    const maxDelayMs = Math.min(
      MAX_BACKOFF_MS,
      MIN_BACKOFF_MS * 2 ** this.#failureCount,
    );
    this.#failureCount += 1;
    return maxDelayMs * (0.5 + 0.5 * this.#options.random());
  }
}
