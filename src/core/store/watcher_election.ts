/**
 * Which hosts watch the store. A waiting watch is a call, and each change
 * ends one at every host that watches, so a few hosts watch and pass changes
 * on. A host that hears of no working watcher watches by itself.
 *
 * @module
 */

/** Hosts that watch; one of them suffices. */
const WATCHERS = 3;
/** Age of the store's last answer at which a watcher is not relied on. */
const MAX_WATCHER_AGE_MS = 2_500;
/** Time without a working watcher after which this host watches. */
const TAKE_OVER_MS = 250;
/**
 * Time after a start in which no host watches yet: its lists are fresh, and
 * it has heard of few other hosts.
 */
const SETTLE_MS = 1_000;
/** Time with a working watcher after which this host stops to watch. */
const HAND_BACK_MS = 3_000;

/** What another host tells of its watch. */
export interface PeerWatchState {
  readonly watches: boolean;
  /** Whether its calls to the store fail. */
  readonly isFailing: boolean;
  /** Age of the store's last answer to it, in milliseconds. */
  readonly storeAgeMs: number;
}

/** Decides whether this host watches. */
export class WatcherElection {
  #watches = false;
  #sinceMs: number | undefined;
  readonly #startedMs: number;

  constructor(nowMs: number) {
    this.#startedMs = nowMs;
  }

  /** Whether this host watches. */
  get watches(): boolean {
    return this.#watches;
  }

  /**
   * Looks at what other hosts do. Called a few times a second.
   *
   * @param rank Place of this host in the order of hosts for the duty.
   * @returns Whether the answer of `watches` has changed.
   */
  tick(rank: number, peers: readonly PeerWatchState[], nowMs: number): boolean {
    if (nowMs - this.#startedMs < SETTLE_MS) return false;
    const isRelied = peers.some((peer) =>
      peer.watches && !peer.isFailing && peer.storeAgeMs < MAX_WATCHER_AGE_MS
    );
    const wanted = rank < WATCHERS || !isRelied;
    if (wanted === this.#watches) {
      this.#sinceMs = undefined;
      return false;
    }
    this.#sinceMs ??= nowMs;
    const delayMs = wanted && rank >= WATCHERS
      ? TAKE_OVER_MS
      : wanted
      ? 0
      : HAND_BACK_MS;
    if (nowMs - this.#sinceMs < delayMs) return false;
    this.#watches = wanted;
    this.#sinceMs = undefined;
    return true;
  }
}
