/**
 * What an entry host holds of the store's objects, followed in the store and
 * completed from other hosts.
 *
 * @module
 */
import { KindView, type ViewChanges } from "../../core/store/kind_view.ts";
import { LagDetector } from "../../core/store/lag_detector.ts";
import { StoreHealth } from "../../core/store/store_health.ts";
import {
  combineStoreReports,
  createStoreReport,
  type StoreAvailability,
  type StoreReport,
} from "../../core/store/store_availability.ts";
import {
  type KindDelta,
  OBJECT_KINDS,
  type ObjectKind,
} from "../../core/store/types.ts";
import { WatcherElection } from "../../core/store/watcher_election.ts";
import type { Random } from "../../core/types.ts";
import { fetchFromPeer } from "../peer/peer_service.ts";
import type { PushedDelta } from "../peer/report_codec.ts";
import { type FollowMode, KindFollower } from "../store/kind_follower.ts";
import { type ObjectStore, StoreError } from "../store/object_store.ts";
import type { Log } from "../telemetry/log.ts";

/** Longest time for a peer to answer. */
const FETCH_TIMEOUT_MS = 800;
/** Time between two checks of a watched store. */
const PROBE_MS = 1_000;

/**
 * How kinds are followed by hosts that do not watch. The document is too
 * large to be passed on, and hosts that join are heard from by themselves.
 */
const MODES: Readonly<Record<ObjectKind, FollowMode>> = {
  document: "watch",
  targets: "peers",
  releases: "peers",
  evacuations: "peers",
  hosts: "list",
};

/** What another host holds and how it sees the store. */
export interface PeerPosition {
  readonly peerAddress: string;
  /** Newest change that it holds of each kind. */
  readonly revisions: ReadonlyMap<ObjectKind, number>;
  readonly store: StoreReport;
  /** When it told this. */
  readonly atMs: number;
}

/** What the state is built from. */
export interface ControlStateOptions {
  readonly store: ObjectStore;
  readonly nowMs: () => number;
  readonly random: Random;
  readonly log: Log;
  /** Objects of a kind have changed. */
  readonly onNews: (kind: ObjectKind, news: ViewChanges) => void;
  /** Passes changes on to other hosts. */
  readonly pass: (pushed: PushedDelta) => void;
}

/** Views of all kinds. */
export class ControlState {
  readonly #options: ControlStateOptions;
  readonly #views = new Map<ObjectKind, KindView>();
  readonly #followers = new Map<ObjectKind, KindFollower>();
  readonly #sync = new LagDetector();
  readonly #health = new StoreHealth();
  readonly #duty: WatcherElection;
  #outlook: StoreAvailability;
  #fetching = false;
  #probedMs = -Infinity;

  constructor(options: ControlStateOptions) {
    this.#options = options;
    const { store, random, nowMs } = options;
    this.#duty = new WatcherElection(nowMs());
    this.#outlook = combineStoreReports(this.report(), [], nowMs());
    for (const kind of OBJECT_KINDS) {
      const view = new KindView();
      this.#views.set(kind, view);
      this.#followers.set(
        kind,
        new KindFollower({
          kind,
          mode: this.#modeOf(kind),
          view,
          store,
          random,
          onChanges: (news, before) => this.#tell(kind, news, before),
          onResponse: () => this.noteAnswer(),
          onFailure: (error) => this.noteFailure(error.message),
        }),
      );
    }
  }

  /** The store's state as all hosts that watch it see it. */
  get outlook(): StoreAvailability {
    return this.#outlook;
  }

  /** Whether calls of this host to the store fail. */
  get isFailing(): boolean {
    return this.#health.isFailing;
  }

  /** Starts to follow. Returns a function that stops it. */
  start(): () => void {
    const stops = [...this.#followers.values()].map((one) => one.start());
    return () => stops.forEach((stop) => stop());
  }

  /** The view of a kind. */
  view(kind: ObjectKind): KindView {
    return this.#views.get(kind) as KindView;
  }

  /** The store as this host sees it, for other hosts. */
  report(): StoreReport {
    const { nowMs } = this.#options;
    return createStoreReport(this.#health, this.#duty.isWatcher, nowMs());
  }

  /** Newest change that is held of each kind, for other hosts. */
  changedRevisions(): Map<ObjectKind, number> {
    return new Map(
      OBJECT_KINDS.map((kind) => [kind, this.view(kind).changedRevision]),
    );
  }

  /** What a peer lacks. */
  deltaSince(kind: ObjectKind, revision: number): KindDelta {
    return this.view(kind).deltaSince(revision);
  }

  /**
   * Compares with what other hosts hold and decides who watches. Called a few
   * times a second.
   *
   * @param rank Place of this host in the order of hosts that watch.
   */
  tick(rank: number, peers: readonly PeerPosition[]): void {
    const { nowMs, log } = this.#options;
    const atMs = nowMs();
    const watches = peers.map(({ store, atMs: heardMs }) => ({
      isWatching: store.watches,
      isFailing: store.isFailing,
      storeAgeMs: store.ageMs + atMs - heardMs,
    }));
    if (this.#duty.tick(rank, watches, atMs)) {
      log.event("store_watch", { watches: this.#duty.isWatcher, rank });
      this.#setModes();
    }
    this.#outlook = combineStoreReports(
      this.report(),
      peers.map(({ store, atMs: heardMs }) => ({
        report: store,
        receivedMs: heardMs,
      })),
      atMs,
    );
    this.#compare(peers);
    if (this.#duty.isWatcher && atMs - this.#probedMs >= PROBE_MS) {
      this.#probe();
    }
  }

  /**
   * Takes over changes that another host passes on. Returns whether they are
   * news.
   */
  takePushed({ kind, baseRevision, delta }: PushedDelta): boolean {
    const view = this.view(kind);
    // Without the changes before, the delta is not whole.
    if (view.revision < 0 || view.revision < baseRevision) return false;
    const news = view.applyDelta(delta);
    this.#tell(kind, news);
    return news.changed.length + news.removed.length > 0;
  }

  /** Fetches what a peer holds beyond the own views. */
  async fetchFrom(peerAddress: string): Promise<void> {
    if (this.#fetching) return;
    this.#fetching = true;
    const { log } = this.#options;
    try {
      const own = this.#revisions();
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
    if (!this.#health.recordResponse(nowMs())) return;
    log.event("store_regained");
    // Watches from before the failure may wait on connections that are gone.
    for (const follower of this.#followers.values()) follower.catchUp();
  }

  /** Notes a call to the store without a usable answer. */
  noteFailure(reason: string): void {
    const { nowMs, log } = this.#options;
    if (this.#health.recordFailure(nowMs())) log.warn("store_lost", { reason });
  }

  #revisions(): Map<ObjectKind, number> {
    return new Map(
      OBJECT_KINDS.map((kind) => [kind, this.view(kind).revision]),
    );
  }

  #compare(peers: readonly PeerPosition[]): void {
    const { nowMs } = this.#options;
    const effects = this.#sync.tick({
      ownRevisions: this.#revisions(),
      peers,
      isStoreFailing: this.#health.isFailing,
    }, nowMs());
    for (const effect of effects) {
      if (effect.type === "rewatch") {
        this.#followers.get(effect.kind)?.catchUp();
      } else this.fetchFrom(effect.peerAddress);
    }
  }

  async #probe(): Promise<void> {
    const { store, nowMs } = this.#options;
    this.#probedMs = nowMs();
    try {
      await store.probe();
      this.noteAnswer();
    } catch (error) {
      if (!(error instanceof StoreError)) throw error;
      this.noteFailure(error.message);
    }
  }

  #setModes(): void {
    for (const [kind, follower] of this.#followers) {
      follower.setMode(this.#modeOf(kind));
    }
  }

  #modeOf(kind: ObjectKind): FollowMode {
    const mode = MODES[kind];
    return mode === "peers" && this.#duty.isWatcher ? "watch" : mode;
  }

  /** Takes news over, and passes on what the store has told since a change. */
  #tell(kind: ObjectKind, news: ViewChanges, changedBefore?: number): void {
    if (news.changed.length + news.removed.length === 0) return;
    const { onNews, pass } = this.#options;
    const passes = this.#duty.isWatcher && MODES[kind] === "peers";
    if (passes && changedBefore !== undefined) {
      const view = this.view(kind);
      const delta = view.deltaSince(changedBefore);
      pass({ kind, baseRevision: changedBefore, delta });
    }
    onNews(kind, news);
  }
}
