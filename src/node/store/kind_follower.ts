/**
 * Follows one kind of objects in the store: a list first, then watches from
 * its revision, and a list again when that history is gone.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import type { KindView, ViewNews } from "../../core/store/kind_view.ts";
import type { Kind } from "../../core/store/types.ts";
import type { Random } from "../../core/types.ts";
import { type ObjectStore, StoreError } from "./object_store.ts";

/**
 * Time for which the store holds a watch. A connection that went silent is
 * noticed at its end at the latest.
 */
const WATCH_MS = 6_000;
/**
 * Pause after an answer with changes, so that one call carries many. It adds
 * to the time until a change is known, which is bounded by two seconds.
 */
const GATHER_MS = 350;
/** Bounds of the pause after a failed call. */
const MIN_RETRY_MS = 150;
const MAX_RETRY_MS = 1_000;

/** What a follower is built from. */
export interface KindFollowerOptions {
  readonly kind: Kind;
  readonly view: KindView;
  readonly store: ObjectStore;
  readonly random: Random;
  readonly onNews: (news: ViewNews) => void;
  /** The store answered. */
  readonly onAnswer: () => void;
  /** A call had no usable answer. */
  readonly onFailure: (error: StoreError) => void;
}

/** Follows a kind until it is stopped. */
export class KindFollower {
  readonly #options: KindFollowerOptions;
  readonly #stop = new AbortController();
  #failures = 0;
  #wake: AbortController | undefined;

  constructor(options: KindFollowerOptions) {
    this.#options = options;
  }

  /** Starts to follow. Returns a function that stops it. */
  start(): () => void {
    this.#run();
    return () => this.#stop.abort();
  }

  /** Gives up the present watch, as a peer holds a later change. */
  restart(): void {
    this.#wake?.abort();
  }

  async #run(): Promise<void> {
    const { signal } = this.#stop;
    while (!signal.aborted) {
      const pauseMs = await this.#step();
      if (pauseMs > 0 && !signal.aborted) {
        await sleep(pauseMs, undefined, { signal }).catch(() => {});
      }
    }
  }

  /** Makes one call. Returns the time until the next one. */
  async #step(): Promise<number> {
    const { onAnswer, onFailure, onNews } = this.#options;
    const wake = new AbortController();
    this.#wake = wake;
    try {
      const news = await this.#call(
        AbortSignal.any([this.#stop.signal, wake.signal]),
      );
      this.#failures = 0;
      onAnswer();
      onNews(news);
      return news.changed.length + news.removed.length > 0 ? GATHER_MS : 0;
    } catch (error) {
      if (this.#stop.signal.aborted || wake.signal.aborted) return 0;
      if (!(error instanceof StoreError)) throw error;
      if (error.kind === "compacted") {
        onAnswer();
        this.#relist = true;
        return 0;
      }
      onFailure(error);
      return this.#retryMs();
    }
  }

  #relist = false;

  async #call(signal: AbortSignal): Promise<ViewNews> {
    const { kind, view, store } = this.#options;
    if (view.revision < 0 || this.#relist) {
      const { objects, revision } = await store.list(kind);
      this.#relist = false;
      return view.applyList(objects, revision);
    }
    const { changes, revision } = await store.watch(kind, view.revision, {
      waitMs: WATCH_MS,
      signal,
    });
    return view.applyChanges(changes, revision);
  }

  #retryMs(): number {
    const limitMs = Math.min(MAX_RETRY_MS, MIN_RETRY_MS * 2 ** this.#failures);
    this.#failures += 1;
    return limitMs * (0.5 + 0.5 * this.#options.random());
  }
}
