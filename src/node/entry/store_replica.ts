/**
 * Replica of the store's objects on an entry host. It is updated by watches and
 * lists of the store and by changes that other hosts forward. Changes that it
 * still lacks, for example while this host cannot reach the store, are fetched
 * from a peer.
 *
 * @module
 */
import { KindView, type ViewChanges } from "../../core/store/kind_view.ts";
import { LagDetector } from "../../core/store/lag_detector.ts";
import {
  combineStoreReports,
  createStoreReport,
  type StoreAvailability,
  type StoreReport,
} from "../../core/store/store_availability.ts";
import { StoreHealth } from "../../core/store/store_health.ts";
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

/** Time limit for the response of a peer. */
const FETCH_TIMEOUT_MS = 800;
/** Time between two probes of the store by a host that watches it. */
const PROBE_INTERVAL_MS = 1_000;

/**
 * Source of the updates of each kind on a host that is not a watcher.
 * Every host watches the document, which is too large to be forwarded. Hosts
 * are only listed, as a host that joins sends reports of its own.
 */
const NON_WATCHER_MODES: Readonly<Record<ObjectKind, FollowMode>> = {
  document: "watch",
  targets: "peers",
  releases: "peers",
  evacuations: "peers",
  hosts: "list",
};

/** State of another host's replica and its connection to the store. */
export interface PeerStatus {
  readonly peerAddress: string;
  /** Revision of the newest change that the host holds, by kind. */
  readonly revisions: ReadonlyMap<ObjectKind, number>;
  /** Availability of the store as the host observes it. */
  readonly store: StoreReport;
  readonly receivedMs: number;
}

/** Options of a `StoreReplica`. */
export interface StoreReplicaOptions {
  readonly store: ObjectStore;
  readonly nowMs: () => number;
  readonly random: Random;
  readonly log: Log;
  /** Called after objects of a kind have changed. */
  readonly onChanges: (kind: ObjectKind, changes: ViewChanges) => void;
  /** Forwards changes to the other hosts. */
  readonly broadcastDelta: (pushedDelta: PushedDelta) => void;
}

/** Replicas of all kinds of objects, and the availability of the store. */
export class StoreReplica {
  readonly #options: StoreReplicaOptions;
  readonly #views = new Map<ObjectKind, KindView>();
  readonly #followers = new Map<ObjectKind, KindFollower>();
  readonly #lagDetector = new LagDetector();
  readonly #health = new StoreHealth();
  readonly #election: WatcherElection;
  #availability: StoreAvailability;
  #isFetching = false;
  #lastProbeMs = -Infinity;
  /** Newest epoch of the store that this host knows; -1 before the first. */
  #epoch = -1;

  constructor(options: StoreReplicaOptions) {
    this.#options = options;
    const { store, random, nowMs, log } = options;
    this.#election = new WatcherElection(nowMs());
    this.#availability = combineStoreReports(
      this.createStoreReport(),
      [],
      nowMs(),
    );
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
          onChanges: (changes, previousRevision) =>
            this.#handleChanges(kind, changes, previousRevision),
          onOutdated: (revision) =>
            log.warn("store_outdated", {
              kind,
              revision,
              heldRevision: view.revision,
            }),
          onHistoryLost: () =>
            log.event("history_lost", { kind, revision: view.revision }),
          onResponse: () => this.recordResponse(),
          onFailure: (error) => this.recordFailure(error.message),
        }),
      );
    }
  }

  /** Availability of the store as the watching hosts observe it together. */
  get availability(): StoreAvailability {
    return this.#availability;
  }

  /** Whether the last call of this host to the store failed. */
  get isFailing(): boolean {
    return this.#health.isFailing;
  }

  /** Starts the updates. Returns a function that stops them. */
  start(): () => void {
    const stopFunctions = [...this.#followers.values()].map((follower) =>
      follower.start()
    );
    return () => stopFunctions.forEach((stopFollower) => stopFollower());
  }

  /** Returns the replica of a kind. */
  view(kind: ObjectKind): KindView {
    return this.#views.get(kind) as KindView;
  }

  /** Reports the store's availability as this host observes it. */
  createStoreReport(): StoreReport {
    const { nowMs } = this.#options;
    return createStoreReport(this.#health, this.#election.isWatcher, nowMs());
  }

  /** Returns the revision of the newest change by kind. */
  changedRevisions(): Map<ObjectKind, number> {
    return new Map(
      OBJECT_KINDS.map((kind) => [kind, this.view(kind).changedRevision]),
    );
  }

  /** Returns the changes of a kind since a revision that a peer holds. */
  deltaSince(kind: ObjectKind, revision: number): KindDelta {
    return this.view(kind).deltaSince(revision);
  }

  /**
   * Re-evaluates the election of watchers and compares revisions with the other
   * hosts. Called several times per second.
   *
   * @param rank Rank of this host for the task of watching, from 0.
   */
  tick(rank: number, peers: readonly PeerStatus[]): void {
    const { nowMs, log } = this.#options;
    const atMs = nowMs();
    const peerWatchStates = peers.map(({ store, receivedMs }) => ({
      isWatching: store.watches,
      isFailing: store.isFailing,
      storeAgeMs: store.ageMs + atMs - receivedMs,
    }));
    if (this.#election.tick(rank, peerWatchStates, atMs)) {
      log.event("store_watch", { watches: this.#election.isWatcher, rank });
      this.#updateModes();
    }
    this.#availability = combineStoreReports(
      this.createStoreReport(),
      peers.map(({ store, receivedMs }) => ({ report: store, receivedMs })),
      atMs,
    );
    this.#detectLag(peers);
    if (
      this.#election.isWatcher && atMs - this.#lastProbeMs >= PROBE_INTERVAL_MS
    ) {
      this.#probe();
    }
  }

  /**
   * Applies changes that another host forwards. Returns whether any of them was
   * new to this host.
   */
  applyPushedDelta({ kind, baseRevision, delta }: PushedDelta): boolean {
    const view = this.view(kind);
    // Changes between this view and the delta would be missing.
    if (view.revision < 0 || view.revision < baseRevision) return false;
    const changes = view.applyDelta(delta);
    this.#handleChanges(kind, changes);
    return changes.changed.length + changes.removed.length > 0;
  }

  /** Fetches the changes that a peer holds beyond the views of this host. */
  async fetchFrom(peerAddress: string): Promise<void> {
    if (this.#isFetching) return;
    this.#isFetching = true;
    const { log } = this.#options;
    try {
      const ownRevisions = this.#revisions();
      const deltas = await fetchFromPeer(
        peerAddress,
        ownRevisions,
        FETCH_TIMEOUT_MS,
      );
      for (const [kind, delta] of deltas) {
        if (delta.revision < 0) continue;
        const changes = this.view(kind).applyDelta(delta);
        log.event("objects_fetched", {
          from: peerAddress,
          kind,
          changed: changes.changed.length,
          removed: changes.removed.length,
          revision: delta.revision,
        });
        this.#handleChanges(kind, changes);
      }
    } catch (error) {
      const reason = (error as Error).message;
      log.event("fetch_failed", { from: peerAddress, reason });
    } finally {
      this.#isFetching = false;
    }
  }

  /** Records the epoch of a response of the store. */
  recordEpoch(epoch: number): void {
    if (epoch <= this.#epoch) return;
    const { log } = this.#options;
    if (this.#epoch >= 0) {
      log.warn("store_restored", { epoch, before: this.#epoch });
    }
    this.#epoch = epoch;
  }

  /** Records a response of the store. */
  recordResponse(): void {
    const { nowMs, log } = this.#options;
    if (!this.#health.recordResponse(nowMs())) return;
    log.event("store_regained");
    // Watches from before the failure may wait on dead connections.
    for (const follower of this.#followers.values()) follower.catchUp();
  }

  /** Records a call to the store without a usable response. */
  recordFailure(reason: string): void {
    const { nowMs, log } = this.#options;
    if (this.#health.recordFailure(nowMs())) log.warn("store_lost", { reason });
  }

  #revisions(): Map<ObjectKind, number> {
    return new Map(
      OBJECT_KINDS.map((kind) => [kind, this.view(kind).revision]),
    );
  }

  #detectLag(peers: readonly PeerStatus[]): void {
    const { nowMs } = this.#options;
    const effects = this.#lagDetector.tick({
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
    this.#lastProbeMs = nowMs();
    try {
      await store.probe();
      this.recordResponse();
    } catch (error) {
      if (!(error instanceof StoreError)) throw error;
      this.recordFailure(error.message);
    }
  }

  #updateModes(): void {
    for (const [kind, follower] of this.#followers) {
      follower.setMode(this.#modeOf(kind));
    }
  }

  #modeOf(kind: ObjectKind): FollowMode {
    const mode = NON_WATCHER_MODES[kind];
    return mode === "peers" && this.#election.isWatcher ? "watch" : mode;
  }

  /**
   * Reports changes of a view. A watcher also forwards those that came from the
   * store.
   *
   * @param previousRevision Revision of the newest change before an update from
   *   the store; `undefined` for its first list and for changes from a peer.
   */
  #handleChanges(
    kind: ObjectKind,
    changes: ViewChanges,
    previousRevision?: number,
  ): void {
    if (changes.changed.length + changes.removed.length === 0) return;
    const { onChanges, broadcastDelta } = this.#options;
    const isForwarded = this.#election.isWatcher &&
      NON_WATCHER_MODES[kind] === "peers";
    if (isForwarded && previousRevision !== undefined) {
      const view = this.view(kind);
      const delta = view.deltaSince(previousRevision);
      broadcastDelta({ kind, baseRevision: previousRevision, delta });
    }
    onChanges(kind, changes);
  }
}
