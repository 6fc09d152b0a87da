/**
 * Calls between hosts over connect-es. The library is loaded with the first
 * call, as most hosts never need it and memory is short.
 *
 * @module
 */
import { createServer, type RequestListener, type Server } from "node:http";
import {
  type KindDelta,
  OBJECT_KINDS,
  type ObjectKind,
} from "../../core/store/types.ts";

/** Answers to calls of other hosts. */
export interface PeerHandlers {
  /** What the caller lacks of a kind beyond a revision. */
  deltaSince(kind: ObjectKind, revision: number): KindDelta;
  /** What this host knows, for operators. */
  describe(): unknown;
}

/** Positions of a host in all kinds. */
export type KindRevisions = ReadonlyMap<ObjectKind, number>;

/** Creates the server for calls of other hosts. */
export function createPeerServer(handlers: PeerHandlers): Server {
  let listener: Promise<RequestListener> | undefined;
  return createServer((req, res) => {
    listener ??= import("./peer_calls.ts").then(({ createPeerListener }) =>
      createPeerListener(handlers)
    );
    listener.then((handle) => handle(req, res), () => res.destroy());
  });
}

/**
 * Fetches what a peer holds beyond own positions.
 *
 * @throws When the peer does not answer in time.
 */
export async function fetchFromPeer(
  peerAddress: string,
  positions: KindRevisions,
  timeoutMs: number,
): Promise<Map<ObjectKind, KindDelta>> {
  const { fetchObjects } = await import("./peer_calls.ts");
  const allPositions = new Map(
    OBJECT_KINDS.map((kind) => [kind, positions.get(kind) ?? -1] as const),
  );
  return fetchObjects(peerAddress, allPositions, timeoutMs);
}
