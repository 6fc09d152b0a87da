/**
 * Calls between hosts over connect-es. The library is loaded on the first call,
 * as most hosts never need it and memory is limited.
 *
 * @module
 */
import { createServer, type RequestListener, type Server } from "node:http";
import {
  type KindDelta,
  OBJECT_KINDS,
  type ObjectKind,
} from "../../core/store/types.ts";

/** Handlers for the calls of other hosts. */
export interface PeerHandlers {
  /** Returns the changes of a kind since the revision of the calling host. */
  deltaSince(kind: ObjectKind, revision: number): KindDelta;
  /** Describes the state of this host to operators, as a JSON value. */
  describe(): unknown;
}

/** Revision of a host's replica by kind; -1 before its first list. */
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
 * Fetches the changes that a peer holds beyond the given revisions.
 *
 * @param ownRevisions A kind without an entry is fetched as a snapshot.
 * @throws {ConnectError} When the call fails or times out.
 */
export async function fetchFromPeer(
  peerAddress: string,
  ownRevisions: KindRevisions,
  timeoutMs: number,
): Promise<Map<ObjectKind, KindDelta>> {
  const { fetchObjects } = await import("./peer_calls.ts");
  const revisions = new Map(
    OBJECT_KINDS.map((kind) => [kind, ownRevisions.get(kind) ?? -1] as const),
  );
  return fetchObjects(peerAddress, revisions, timeoutMs);
}
