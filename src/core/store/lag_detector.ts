/**
 * Detects that other hosts hold later changes than this host, for example
 * because its connection to the store is dead or the store refuses its calls.
 *
 * @module
 */
import { isLater, NO_POSITION, type StorePosition } from "./position.ts";
import { OBJECT_KINDS, type ObjectKind } from "./types.ts";

/** Lag after which this host restarts its watch. */
const REWATCH_LAG_MS = 700;
/** Lag after which this host fetches the changes from a peer. */
const FETCH_LAG_MS = 1_400;
/** The same while the store is unreachable for this host. */
const FETCH_LAG_STORE_FAILING_MS = 150;
/**
 * The same when a peer holds objects of a later epoch. Hosts that watch the
 * store list them at once, so that the others need not.
 */
const FETCH_LAG_RESTORED_MS = 300;

/** Positions of another host's replicas. */
export interface PeerPositions {
  readonly peerAddress: string;
  /** Position of the newest change that the host holds, by kind. */
  readonly positions: ReadonlyMap<ObjectKind, StorePosition>;
}

/** Inputs of the lag detection. */
export interface LagInputs {
  /** Position of this host's replica by kind. */
  readonly ownPositions: ReadonlyMap<ObjectKind, StorePosition>;
  readonly peers: readonly PeerPositions[];
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

  /** Compares positions. Called several times per second. */
  tick(
    { ownPositions, peers, isStoreFailing }: LagInputs,
    nowMs: number,
  ): LagEffect[] {
    const effects: LagEffect[] = [];
    for (const kind of OBJECT_KINDS) {
      const newest = findNewestPeer(peers, kind);
      const own = ownPositions.get(kind) ?? NO_POSITION;
      if (newest === undefined || !isLater(newest.position, own)) {
        this.#laggingSinceMs.delete(kind);
        this.#rewatched.delete(kind);
        continue;
      }
      const laggingSinceMs = this.#laggingSinceMs.get(kind) ?? nowMs;
      this.#laggingSinceMs.set(kind, laggingSinceMs);
      const lagMs = nowMs - laggingSinceMs;
      const fetchLagMs = isStoreFailing
        ? FETCH_LAG_STORE_FAILING_MS
        : newest.position.epoch > own.epoch
        ? FETCH_LAG_RESTORED_MS
        : FETCH_LAG_MS;
      if (lagMs >= fetchLagMs) {
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

function findNewestPeer(peers: readonly PeerPositions[], kind: ObjectKind) {
  let newest: { peerAddress: string; position: StorePosition } | undefined;
  for (const { peerAddress, positions } of peers) {
    const position = positions.get(kind) ?? NO_POSITION;
    if (newest === undefined || isLater(position, newest.position)) {
      newest = { peerAddress, position };
    }
  }
  return newest;
}
