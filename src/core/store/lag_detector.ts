/**
 * Detects that other hosts hold later changes than this host, for example
 * because its connection to the store is dead or the store refuses its calls.
 *
 * @module
 */
import { OBJECT_KINDS, type ObjectKind } from "./types.ts";

/** Lag after which this host restarts its watch. */
const REWATCH_LAG_MS = 700;
/** Lag after which this host fetches the changes from a peer. */
const FETCH_LAG_MS = 1_400;
/** The same while the store is unreachable for this host. */
const FETCH_LAG_STORE_FAILING_MS = 150;

/** Revisions of another host's replicas. */
export interface PeerRevisions {
  readonly peerAddress: string;
  /** Revision of the newest change that the host holds, by kind. */
  readonly revisions: ReadonlyMap<ObjectKind, number>;
}

/** Inputs of the lag detection. */
export interface LagInputs {
  /** Revision of this host's replica by kind; -1 before its first list. */
  readonly ownRevisions: ReadonlyMap<ObjectKind, number>;
  readonly peers: readonly PeerRevisions[];
  readonly isStoreFailing: boolean;
}

/** Reaction to a lag: restart the watch, or fetch the changes from a peer. */
export type LagEffect =
  | { readonly type: "rewatch"; readonly kind: ObjectKind }
  | {
    readonly type: "fetch";
    readonly kind: ObjectKind;
    readonly peerAddress: string;
  };

/** Tracks since when this host has lagged behind its peers, by kind. */
export class LagDetector {
  #laggingSinceMs = new Map<ObjectKind, number>();
  /** Kinds whose watch was restarted during the present lag. */
  #rewatched = new Set<ObjectKind>();

  /** Compares revisions. Called several times per second. */
  tick(
    { ownRevisions, peers, isStoreFailing }: LagInputs,
    nowMs: number,
  ): LagEffect[] {
    const effects: LagEffect[] = [];
    for (const kind of OBJECT_KINDS) {
      const newest = findNewestPeer(peers, kind);
      if (
        newest === undefined ||
        newest.revision <= (ownRevisions.get(kind) ?? -1)
      ) {
        this.#laggingSinceMs.delete(kind);
        this.#rewatched.delete(kind);
        continue;
      }
      const laggingSinceMs = this.#laggingSinceMs.get(kind) ?? nowMs;
      this.#laggingSinceMs.set(kind, laggingSinceMs);
      const lagMs = nowMs - laggingSinceMs;
      if (
        lagMs >= (isStoreFailing ? FETCH_LAG_STORE_FAILING_MS : FETCH_LAG_MS)
      ) {
        // The next fetch waits for the full lag again.
        this.#laggingSinceMs.set(kind, nowMs);
        effects.push({ type: "fetch", kind, peerAddress: newest.peerAddress });
      } else if (lagMs >= REWATCH_LAG_MS && !this.#rewatched.has(kind)) {
        this.#rewatched.add(kind);
        effects.push({ type: "rewatch", kind });
      }
    }
    return effects;
  }
}

function findNewestPeer(peers: readonly PeerRevisions[], kind: ObjectKind) {
  let newest: { peerAddress: string; revision: number } | undefined;
  for (const { peerAddress, revisions } of peers) {
    const revision = revisions.get(kind) ?? -1;
    if (newest === undefined || revision > newest.revision) {
      newest = { peerAddress, revision };
    }
  }
  return newest;
}
