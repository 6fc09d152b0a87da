/**
 * What an entry host holds of the store's objects, followed in the store and
 * completed from peers.
 *
 * @module
 */
import { KindView, type ViewNews } from "../../core/store/kind_view.ts";
import { type PeerPosition, PeerSync } from "../../core/store/peer_sync.ts";
import { StoreHealth } from "../../core/store/store_health.ts";
import { type Kind, type KindDelta, KINDS } from "../../core/store/types.ts";
import type { Random } from "../../core/types.ts";
import { fetchFromPeer } from "../peer/peer_service.ts";
import { KindFollower } from "../store/kind_follower.ts";
import type { ObjectStore } from "../store/object_store.ts";
import type { Log } from "../telemetry/log.ts";

/** Longest time for a peer to answer. */
const FETCH_TIMEOUT_MS = 800;

/** What the state is built from. */
export interface ControlStateOptions {
  readonly store: ObjectStore;
  readonly nowMs: () => number;
  readonly random: Random;
  readonly log: Log;
  /** Objects of a kind have changed. */
  readonly onNews: (kind: Kind, news: ViewNews) => void;
  /** The first list of a kind, from the store or a peer, was applied. */
  readonly onFirst: (kind: Kind) => void;
}

/** Views of all kinds. */
export class ControlState {
  readonly #options: ControlStateOptions;
  readonly #views = new Map<Kind, KindView>();
  readonly #followers = new Map<Kind, KindFollower>();
  readonly #sync = new PeerSync();
  readonly #health = new StoreHealth();
  #fetching = false;

  constructor(options: ControlStateOptions) {
    this.#options = options;
    const { store, random } = options;
    for (const kind of KINDS) {
      const view = new KindView();
      this.#views.set(kind, view);
      this.#followers.set(
        kind,
        new KindFollower({
          kind,
          view,
          store,
          random,
          onNews: (news) => this.#tell(kind, news),
          onAnswer: () => this.noteAnswer(),
          onFailure: (error) => this.noteFailure(error.message),
        }),
      );
    }
  }

  /** Whether the store answers. */
  get health(): StoreHealth {
    return this.#health;
  }

  /** Starts to follow. Returns a function that stops it. */
  start(): () => void {
    const stops = [...this.#followers.values()].map((one) => one.start());
    return () => stops.forEach((stop) => stop());
  }

  /** The view of a kind. */
  view(kind: Kind): KindView {
    return this.#views.get(kind) as KindView;
  }

  /** Newest change that is held of each kind, for other hosts. */
  changedRevisions(): Map<Kind, number> {
    return new Map(
      KINDS.map((kind) => [kind, this.view(kind).changedRevision]),
    );
  }

  /** What a peer lacks. */
  deltaSince(kind: Kind, revision: number): KindDelta {
    return this.view(kind).deltaSince(revision);
  }

  /** Compares with what other hosts hold. Called a few times a second. */
  compare(peers: readonly PeerPosition[]): void {
    const { nowMs } = this.#options;
    const own = new Map(
      KINDS.map((kind) => [kind, this.view(kind).revision] as const),
    );
    const storeFails = this.#health.isFailing;
    for (
      const effect of this.#sync.tick({ own, peers, storeFails }, nowMs())
    ) {
      if (effect.type === "rewatch") {
        this.#followers.get(effect.kind)?.restart();
      } else this.fetchFrom(effect.from);
    }
  }

  /** Fetches what a peer holds beyond the own views. */
  async fetchFrom(peerAddress: string): Promise<void> {
    if (this.#fetching) return;
    this.#fetching = true;
    const { log } = this.#options;
    try {
      const own = new Map(
        KINDS.map((kind) => [kind, this.view(kind).revision] as const),
      );
      const deltas = await fetchFromPeer(peerAddress, own, FETCH_TIMEOUT_MS);
      for (const [kind, delta] of deltas) {
        if (delta.revision < 0) continue;
        const news = this.view(kind).applyDelta(delta);
        log.event("objects_fetched", {
          from: peerAddress,
          kind,
          changed: news.changed.length,
          removed: news.removed.length,
          revision: delta.revision,
        });
        this.#tell(kind, news);
      }
    } catch (error) {
      const reason = (error as Error).message;
      log.event("fetch_failed", { from: peerAddress, reason });
    } finally {
      this.#fetching = false;
    }
  }

  /** Notes an answer of the store. */
  noteAnswer(): void {
    const { nowMs, log } = this.#options;
    if (this.#health.noteAnswer(nowMs())) log.event("store_regained");
  }

  /** Notes a call to the store without a usable answer. */
  noteFailure(reason: string): void {
    const { nowMs, log } = this.#options;
    if (this.#health.noteFailure(nowMs())) log.warn("store_lost", { reason });
  }

  #told = new Set<Kind>();

  #tell(kind: Kind, news: ViewNews): void {
    if (news.changed.length + news.removed.length > 0) {
      this.#options.onNews(kind, news);
    }
    if (this.#told.has(kind) || this.view(kind).revision < 0) return;
    this.#told.add(kind);
    this.#options.onFirst(kind);
  }
}
