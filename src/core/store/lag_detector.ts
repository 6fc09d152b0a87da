/**
 * Notices that other hosts hold later changes than this host, as when its
 * connection to the store went silent or the store refuses it.
 *
 * @module
 */
import { OBJECT_KINDS, type ObjectKind } from "./types.ts";

/** Lag after which the own watch is started again. */
const REWATCH_MS = 700;
/** Lag after which the changes are fetched from a peer. */
const FETCH_MS = 1_400;
/** The same while the store does not answer this host. */
const FETCH_CUT_OFF_MS = 150;

/** What another host holds. */
export interface PeerRevisions {
  readonly peerAddress: string;
  /** Newest change that it holds of each kind. */
  readonly revisions: ReadonlyMap<ObjectKind, number>;
}

/** What is known when a host looks for lags. */
export interface LagInputs {
  /** Revision up to which this host holds each kind; -1 for nothing. */
  readonly ownRevisions: ReadonlyMap<ObjectKind, number>;
  readonly peers: readonly PeerRevisions[];
  readonly isStoreFailing: boolean;
}

/** What to do about a lag. */
export type LagEffect =
  | { readonly type: "rewatch"; readonly kind: ObjectKind }
  | {
    readonly type: "fetch";
    readonly kind: ObjectKind;
    readonly from: string;
  };

/** Remembers since when this host lags. */
export class LagDetector {
  #sinceMs = new Map<ObjectKind, number>();
  #rewatched = new Set<ObjectKind>();

  /** Looks for lags. Called a few times a second. */
  tick(
    { ownRevisions: own, peers, isStoreFailing: storeFails }: LagInputs,
    nowMs: number,
  ): LagEffect[] {
    const effects: LagEffect[] = [];
    for (const kind of OBJECT_KINDS) {
      const ahead = newestPeer(peers, kind);
      if (ahead === undefined || ahead.revision <= (own.get(kind) ?? -1)) {
        this.#sinceMs.delete(kind);
        this.#rewatched.delete(kind);
        continue;
      }
      const sinceMs = this.#sinceMs.get(kind) ?? nowMs;
      this.#sinceMs.set(kind, sinceMs);
      const lagMs = nowMs - sinceMs;
      if (lagMs >= (storeFails ? FETCH_CUT_OFF_MS : FETCH_MS)) {
        // The next fetch waits as long again.
        this.#sinceMs.set(kind, nowMs);
        effects.push({ type: "fetch", kind, from: ahead.peerAddress });
      } else if (lagMs >= REWATCH_MS && !this.#rewatched.has(kind)) {
        this.#rewatched.add(kind);
        effects.push({ type: "rewatch", kind });
      }
    }
    return effects;
  }
}

function newestPeer(peers: readonly PeerRevisions[], kind: ObjectKind) {
  let newest: { peerAddress: string; revision: number } | undefined;
  for (const { peerAddress, revisions } of peers) {
    const revision = revisions.get(kind) ?? -1;
    if (newest === undefined || revision > newest.revision) {
      newest = { peerAddress, revision };
    }
  }
  return newest;
}
