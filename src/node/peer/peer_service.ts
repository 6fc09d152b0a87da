/**
 * Calls between hosts over connect-es. The library is loaded with the host: a
 * file that is first read by a later call may be of another build by then.
 *
 * @module
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { NO_POSITION, type StorePosition } from "../../core/store/position.ts";
import {
  type KindDelta,
  OBJECT_KINDS,
  type ObjectKind,
} from "../../core/store/types.ts";
import { refuseMalformedRequests } from "../front/caller_connection.ts";
import { FORWARDING_SERVER_OPTIONS } from "../front/caller_server.ts";
import { ENDPOINT_SERVER_OPTIONS } from "../front/endpoint_server.ts";
import { RELAYED_ATTEMPTS_HEADER } from "../front/headers.ts";
import { createPeerListener, fetchObjects } from "./peer_calls.ts";

/** Handlers for the calls of other hosts. */
export interface PeerHandlers {
  /** Returns the changes of a kind since the position of the calling host. */
  deltaSince(kind: ObjectKind, position: StorePosition): KindDelta;
  /** Describes the state of this host to operators, as a JSON value. */
  describe(): unknown;
  /** Handles a caller's request that another host relays. */
  handleRelayed(
    req: IncomingMessage,
    res: ServerResponse,
    options: { relayedAttempts: number },
  ): void;
}

/** Position of a host's replica by kind. */
export type KindPositions = ReadonlyMap<ObjectKind, StorePosition>;

/**
 * Creates the server for calls of other hosts and for requests that they relay.
 */
export function createPeerServer(handlers: PeerHandlers): Server {
  const handleCall = createPeerListener(handlers);
  const options = { ...ENDPOINT_SERVER_OPTIONS, ...FORWARDING_SERVER_OPTIONS };
  const server = createServer(options, (req, res) => {
    const attempts = req.headers[RELAYED_ATTEMPTS_HEADER];
    if (attempts !== undefined) {
      const relayedAttempts = Math.max(1, Number(attempts) || 1);
      return handlers.handleRelayed(req, res, { relayedAttempts });
    }
    handleCall(req, res);
  });
  refuseMalformedRequests(server);
  return server;
}

/**
 * Fetches the changes that a peer holds beyond the given positions.
 *
 * @param ownPositions A kind without an entry is fetched as a snapshot.
 * @throws {ConnectError} When the call fails or times out.
 */
export function fetchFromPeer(
  peerAddress: string,
  ownPositions: KindPositions,
  timeoutMs: number,
): Promise<Map<ObjectKind, KindDelta>> {
  const positions = new Map(
    OBJECT_KINDS.map((kind) =>
      [kind, ownPositions.get(kind) ?? NO_POSITION] as const
    ),
  );
  return fetchObjects(peerAddress, positions, timeoutMs);
}
