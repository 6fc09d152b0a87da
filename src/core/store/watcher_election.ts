/**
 * Election of the hosts that watch the store. Each change of the store ends a
 * watch, which is one call, at every host that watches. To limit the calls,
 * only a few hosts watch and forward the changes to the others. A host that
 * receives no report of a working watcher starts to watch.
 *
 * @module
 */

/** Number of elected watchers. One suffices; the others are redundancy. */
const WATCHER_COUNT = 3;
/** Age of the store's last response from which a watcher counts as broken. */
const MAX_WATCHER_STORE_AGE_MS = 2_500;
/** Time without a working watcher after which this host starts to watch. */
const TAKEOVER_DELAY_MS = 250;
/**
 * Time after its start in which a host does not watch yet: its lists are
 * recent, and it has no reports of most other hosts.
 */
const STARTUP_DELAY_MS = 1_000;
/**
 * Time with a working watcher after which a host that is not elected stops
 * watching.
 */
const STEP_DOWN_DELAY_MS = 3_000;

/** State of another host's watch. */
export interface PeerWatchState {
  readonly isWatching: boolean;
  /** Whether its calls to the store fail. */
  readonly isFailing: boolean;
  /** Time since the store's last response to that host. */
  readonly storeAgeMs: number;
}

/** Decides whether this host watches the store. */
export class WatcherElection {
  #isWatcher = false;
  #changeDueSinceMs: number | undefined;
  readonly #startedMs: number;

  constructor(nowMs: number) {
    this.#startedMs = nowMs;
  }

  get isWatcher(): boolean {
    return this.#isWatcher;
  }

  /**
   * Re-evaluates the election. Called several times per second.
   *
   * @param rank Rank of this host for the task of watching, from 0.
   * @returns Whether `isWatcher` has changed.
   */
  tick(rank: number, peers: readonly PeerWatchState[], nowMs: number): boolean {
    if (nowMs - this.#startedMs < STARTUP_DELAY_MS) return false;
    const hasWorkingWatcher = peers.some((peer) =>
      peer.isWatching && !peer.isFailing &&
      peer.storeAgeMs < MAX_WATCHER_STORE_AGE_MS
    );
    const shouldWatch = rank < WATCHER_COUNT || !hasWorkingWatcher;
    if (shouldWatch === this.#isWatcher) {
      this.#changeDueSinceMs = undefined;
      return false;
    }
    this.#changeDueSinceMs ??= nowMs;
    const delayMs = shouldWatch && rank >= WATCHER_COUNT
      ? TAKEOVER_DELAY_MS
      : shouldWatch
      ? 0
      : STEP_DOWN_DELAY_MS;
    if (nowMs - this.#changeDueSinceMs < delayMs) return false;
    this.#isWatcher = shouldWatch;
    this.#changeDueSinceMs = undefined;
    return true;
  }
}
