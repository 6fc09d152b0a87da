/**
 * Detects that other hosts apply a later version of the document.
 *
 * A host that starts after a restore of the store, before the operator has
 * written the newest document again, lists that of the copy. The others still
 * apply the newest one, at the same position of the store.
 *
 * @module
 */

/**
 * Time for which peers must have applied a later version. A new document
 * reaches all hosts within about half a second.
 */
const FETCH_LAG_MS = 1_000;
/** Time after its start in which a host does not wait for that. */
const STARTUP_MS = 5_000;
/** Time between two fetches. */
const FETCH_INTERVAL_MS = 500;

/** Document version of another host. */
export interface PeerDocument {
  readonly peerAddress: string;
  /** 0 before its first document. */
  readonly documentVersion: number;
}

/** Tracks since when this host has lagged behind. */
export class DocumentLag {
  readonly #startedMs: number;
  #laggingSinceMs: number | undefined;
  #fetchedMs = -Infinity;

  constructor(nowMs: number) {
    this.#startedMs = nowMs;
  }

  /**
   * Compares versions. Called several times per second.
   *
   * @param ownVersion Version of the applied document; 0 before the first one.
   * @returns The address of a peer to fetch the document from, if it is due.
   */
  tick(
    ownVersion: number,
    peers: readonly PeerDocument[],
    nowMs: number,
  ): string | undefined {
    const newest = peers.reduce<PeerDocument | undefined>(
      (best, peer) =>
        peer.documentVersion > (best?.documentVersion ?? ownVersion)
          ? peer
          : best,
      undefined,
    );
    if (newest === undefined) {
      this.#laggingSinceMs = undefined;
      return undefined;
    }
    this.#laggingSinceMs ??= nowMs;
    const isStarting = nowMs - this.#startedMs < STARTUP_MS;
    if (!isStarting && nowMs - this.#laggingSinceMs < FETCH_LAG_MS) {
      return undefined;
    }
    if (nowMs - this.#fetchedMs < FETCH_INTERVAL_MS) return undefined;
    this.#fetchedMs = nowMs;
    return newest.peerAddress;
  }
}
