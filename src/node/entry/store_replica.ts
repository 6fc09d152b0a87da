/**
 * Replica of the store's objects on an entry host. It is updated by watches and
 * lists of the store and by changes that other hosts forward. Changes that it
 * still lacks, for example while this host cannot reach the store, are fetched
 * from a peer.
 *
 * @module
 */
import type { ContentVersion } from "../../core/store/content_version.ts";
import { KindView, type ViewChanges } from "../../core/store/kind_view.ts";
import { LagDetector } from "../../core/store/lag_detector.ts";
import { DocumentLag } from "../../core/store/document_lag.ts";
import {
  isLater,
  NO_POSITION,
  type StorePosition,
} from "../../core/store/position.ts";
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
  type StoredObject,
} from "../../core/store/types.ts";
import {
  type ViewConfirmation,
  ViewFreshness,
} from "../../core/store/view_freshness.ts";
import { WatcherElection } from "../../core/store/watcher_election.ts";
import type { Random } from "../../core/types.ts";
import { fetchFromPeer } from "../peer/peer_service.ts";
import type { PushedDelta } from "../peer/report_codec.ts";
import { type FollowMode, KindFollower } from "../store/kind_follower.ts";
import type { ObjectStore } from "../store/object_store.ts";
import { logUnexpectedError } from "../telemetry/guard.ts";
import type { Log } from "../telemetry/log.ts";
import {
  CONFIRMED_KINDS,
  findFreshnessLimits,
  findWatchWaitMs,
  KEEP_MISSING_MS,
  NON_WATCHER_MODES,
  type PropagationBounds,
} from "./replica_policies.ts";

/** Time limit for the response of a peer. */
const FETCH_TIMEOUT_MS = 800;
/**
 * Age above which a confirmation is not reported: other hosts confirm their
 * views by themselves before.
 */
const MAX_REPORTED_AGE_MS = 10_000;

/** State of another host's replica and its connection to the store. */
export interface PeerStatus {
  readonly peerAddress: string;
  /** Position of the newest change that the host holds, by kind. */
  readonly positions: ReadonlyMap<ObjectKind, StorePosition>;
  /** Version of the document that the host applies; 0 before the first one. */
  readonly documentVersion: number;
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
  /** Returns the version of an object's content; see `RestoreOptions`. */
  readonly contentVersion: (
    kind: ObjectKind,
    object: StoredObject,
  ) => ContentVersion | undefined;
  /** Version of the document that this host applies; 0 before the first one. */
  readonly documentVersion: () => number;
  /** Times in which changes have to be applied. */
  readonly bounds: () => PropagationBounds;
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
  readonly #documentLag: DocumentLag;
  readonly #health = new StoreHealth();
  readonly #election: WatcherElection;
  readonly #freshness = new ViewFreshness();
  /** Kinds whose changes are not known to be complete in time. */
  readonly #unconfirmed = new Set<ObjectKind>();
  #availability: StoreAvailability;
  #isFetching = false;
  /** Newest epoch of the store that this host knows. */
  #epoch = NO_POSITION.epoch;
  /** Time at which this host learned of it, if it is not the first one. */
  #restoredMs = -Infinity;

  constructor(options: StoreReplicaOptions) {
    this.#options = options;
    const { store, random, nowMs, log } = options;
    this.#election = new WatcherElection(nowMs());
    this.#documentLag = new DocumentLag(nowMs());
    for (const kind of OBJECT_KINDS) {
      const view = new KindView({
        contentVersion: (object) => options.contentVersion(kind, object),
        keepMissingMs: KEEP_MISSING_MS[kind],
      });
      this.#views.set(kind, view);
      this.#followers.set(
        kind,
        new KindFollower({
          kind,
          mode: this.#modeOf(kind),
          view,
          store,
          random,
          nowMs,
          watchWaitMs: () =>
            findWatchWaitMs(kind, {
              isWatcher: this.#election.isWatcher,
              ...options.bounds(),
            }),
          onChanges: (changes, previous) =>
            this.#handleChanges(kind, changes, previous),
          onOutdated: (position) =>
            log.warn("store_outdated", {
              kind,
              ...position,
              held: view.position,
            }),
          onHistoryLost: () =>
            log.event("history_lost", { kind, held: view.position }),
          onResponse: () => this.recordResponse(),
          onConfirmed: (completeMs) =>
            this.#freshness.recordOwn(kind, completeMs),
          onFailure: (error) => this.recordFailure(error.message),
          onUnexpectedError: (error) =>
            logUnexpectedError(log, `updates of ${kind}`, error),
        }),
      );
    }
    this.#availability = combineStoreReports(
      this.createStoreReport(),
      [],
      nowMs(),
    );
  }

  /**
   * Whether the replica of a kind is of the newest known epoch. Otherwise the
   * store was restored and its objects are not known yet.
   */
  isCurrent(kind: ObjectKind): boolean {
    return this.view(kind).position.epoch >= this.#epoch;
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
    const atMs = this.#options.nowMs();
    const confirmations = CONFIRMED_KINDS
      .map((kind): ViewConfirmation => ({
        kind,
        changedPosition: this.view(kind).changedPosition,
        position: this.view(kind).position,
        ageMs: this.#freshness.ownAgeMs(kind, atMs),
      }))
      .filter(({ ageMs }) => ageMs < MAX_REPORTED_AGE_MS);
    const watches = this.#election.isWatcher;
    return createStoreReport(this.#health, { watches, confirmations }, atMs);
  }

  /**
   * Age of the knowledge that the view of a kind is complete, in milliseconds;
   * Infinity without any.
   */
  confirmedAgeMs(kind: ObjectKind): number {
    return this.#freshness.ageMs(kind, this.#options.nowMs());
  }

  /** Records that this process was paused, with its clock or without. */
  recordPause(): void {
    this.#freshness.recordPause(this.#options.nowMs());
  }

  /** Returns the position of the newest change by kind. */
  changedPositions(): Map<ObjectKind, StorePosition> {
    return new Map(
      OBJECT_KINDS.map((kind) => [kind, this.view(kind).changedPosition]),
    );
  }

  /** Returns the changes of a kind since a position that a peer holds. */
  deltaSince(kind: ObjectKind, position: StorePosition): KindDelta {
    return this.view(kind).deltaSince(position);
  }

  /**
   * Re-evaluates the election of watchers and compares positions with the other
   * hosts. Called several times per second.
   *
   * @param rank Rank of this host for the task of watching, from 0.
   */
  tick(rank: number, peers: readonly PeerStatus[]): void {
    const { nowMs, log } = this.#options;
    const atMs = nowMs();
    for (const { positions } of peers) {
      for (const { epoch } of positions.values()) this.recordEpoch(epoch);
    }
    const peerWatchStates = peers.map(({ store, receivedMs }) => ({
      isWatching: store.watches,
      isFailing: store.isFailing,
      storeAgeMs: store.ageMs + atMs - receivedMs,
    }));
    if (this.#election.tick(rank, peerWatchStates, atMs)) {
      log.event("store_watch", { watches: this.#election.isWatcher, rank });
      this.#updateModes();
    }
    const combined = combineStoreReports(
      this.createStoreReport(),
      peers.map(({ store, receivedMs }) => ({ report: store, receivedMs })),
      atMs,
    );
    // Registrations lapse in a restore as they do in an outage.
    const recoveredMs = Math.max(combined.recoveredMs, this.#restoredMs);
    this.#availability = { ...combined, recoveredMs };
    this.#detectLag(peers);
    for (const kind of OBJECT_KINDS) {
      this.#handleChanges(kind, this.view(kind).dropMissing(atMs));
    }
    for (const { store, receivedMs } of peers) {
      for (const confirmation of store.confirmations) {
        this.#recordConfirmation(confirmation, receivedMs);
      }
    }
    for (const kind of CONFIRMED_KINDS) this.#confirmIfDue(kind);
  }

  /**
   * Applies changes that another host forwards. Returns whether any of them was
   * new to this host.
   */
  applyPushedDelta({ kind, baseRevision, delta }: PushedDelta): boolean {
    const view = this.view(kind);
    // Changes between this view and the delta would be missing.
    const { epoch, revision } = view.position;
    if (view.isEmpty || epoch !== delta.position.epoch) return false;
    if (revision < baseRevision) return false;
    const changes = view.applyDelta(delta, this.#options.nowMs());
    this.#handleChanges(kind, changes);
    return changes.changed.length + changes.removed.length > 0;
  }

  /**
   * Fetches the changes that a peer holds beyond the views of this host.
   *
   * @param options `wholeDocument`: also takes over a later version of the
   * document at the same position. Default: false.
   */
  async fetchFrom(
    peerAddress: string,
    { wholeDocument = false }: { wholeDocument?: boolean } = {},
  ): Promise<void> {
    if (this.#isFetching) return;
    this.#isFetching = true;
    const { log, nowMs } = this.#options;
    try {
      const ownPositions = this.#positions();
      if (wholeDocument) ownPositions.set("document", NO_POSITION);
      const deltas = await fetchFromPeer(
        peerAddress,
        ownPositions,
        FETCH_TIMEOUT_MS,
      );
      for (const [kind, delta] of deltas) {
        if (delta.position.revision < 0) continue;
        const view = this.view(kind);
        const changes = wholeDocument && kind === "document" &&
            !isLater(delta.position, view.position)
          ? view.takeNewerContent(delta.objects)
          : view.applyDelta(delta, nowMs());
        log.event("objects_fetched", {
          from: peerAddress,
          kind,
          changed: changes.changed.length,
          removed: changes.removed.length,
          ...delta.position,
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

  /**
   * Records the epoch of a response of the store or of another host. In a later
   * epoch than before, the objects are listed again by the hosts that call the
   * store for them.
   */
  recordEpoch(epoch: number): void {
    const previous = this.#epoch;
    if (epoch <= previous) return;
    this.#epoch = epoch;
    // Before its first response, a host knows epoch 0 from hosts without lists.
    if (previous <= NO_POSITION.epoch) return;
    const { log, nowMs } = this.#options;
    log.warn("store_restored", { epoch, before: previous });
    this.#restoredMs = nowMs();
    for (const [kind, follower] of this.#followers) {
      if (this.#modeOf(kind) !== "peers") follower.relist();
    }
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

  #positions(): Map<ObjectKind, StorePosition> {
    return new Map(
      OBJECT_KINDS.map((kind) => [kind, this.view(kind).position]),
    );
  }

  #detectLag(peers: readonly PeerStatus[]): void {
    const { nowMs } = this.#options;
    const effects = this.#lagDetector.tick({
      ownPositions: this.#positions(),
      peers,
      isStoreFailing: this.#health.isFailing,
    }, nowMs());
    for (const effect of effects) {
      if (effect.type === "rewatch") {
        this.#followers.get(effect.kind)?.catchUp();
      } else this.fetchFrom(effect.peerAddress);
    }
    const documentPeer = this.#documentLag.tick(
      this.#options.documentVersion(),
      peers,
      nowMs(),
    );
    if (documentPeer === undefined) return;
    this.fetchFrom(documentPeer, { wholeDocument: true });
  }

  #recordConfirmation(
    confirmation: ViewConfirmation,
    receivedMs: number,
  ): void {
    const view = this.view(confirmation.kind);
    if (
      this.#freshness.recordPeer(confirmation, view.position, receivedMs)
    ) view.advanceTo(confirmation.position);
  }

  /** Asks the store when a view might lack changes for too long otherwise. */
  #confirmIfDue(kind: ObjectKind): void {
    const { nowMs, bounds, log } = this.#options;
    const { isWatcher } = this.#election;
    const atMs = nowMs();
    const limits = findFreshnessLimits(kind, bounds());
    if (!this.#freshness.isDue(kind, limits, { isWatcher, nowMs: atMs })) {
      this.#unconfirmed.delete(kind);
      return;
    }
    if (!isWatcher && !this.#unconfirmed.has(kind)) {
      this.#unconfirmed.add(kind);
      const ageMs = this.#freshness.ageMs(kind, atMs);
      log.event("view_unconfirmed", {
        kind,
        ageMs: Number.isFinite(ageMs) ? Math.round(ageMs) : undefined,
        held: this.view(kind).position,
      });
    }
    this.#followers.get(kind)?.confirm();
  }

  #updateModes(): void {
    for (const [kind, follower] of this.#followers) {
      follower.setMode(this.#modeOf(kind));
      follower.renewWatch();
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
   * @param previous Position of the newest change before an update from the
   *   store; `undefined` for its first list and for changes from a peer.
   */
  #handleChanges(
    kind: ObjectKind,
    changes: ViewChanges,
    previous?: StorePosition,
  ): void {
    if (changes.changed.length + changes.removed.length === 0) return;
    const { onChanges, broadcastDelta } = this.#options;
    const isForwarded = this.#election.isWatcher &&
      NON_WATCHER_MODES[kind] === "peers";
    if (isForwarded && previous !== undefined) {
      const delta = this.view(kind).deltaSince(previous);
      // Other hosts fetch the objects of a restored store, which are many.
      if (delta.position.epoch === previous.epoch) {
        broadcastDelta({ kind, baseRevision: previous.revision, delta });
      }
    }
    onChanges(kind, changes);
  }
}
