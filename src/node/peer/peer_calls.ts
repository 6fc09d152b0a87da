/**
 * Calls between hosts: client and server side with connect-es.
 *
 * @module
 */
import type { RequestListener } from "node:http";
import { createClient } from "@connectrpc/connect";
import {
  connectNodeAdapter,
  createConnectTransport,
} from "@connectrpc/connect-node";
import type { StorePosition } from "../../core/store/position.ts";
import type { KindDelta, ObjectKind } from "../../core/store/types.ts";
import { PeerService } from "../../gen/cranberryhoist/v1/peer_pb.ts";
import {
  deltaFromMessage,
  deltaToMessage,
  isObjectKind,
} from "./delta_codec.ts";
import type { PeerHandlers } from "./peer_service.ts";

/** Limit of a request, which holds a position by kind. */
const MAX_REQUEST_BYTES = 65_536;
/**
 * Limit of a response, which holds all objects of the store at most: about
 * 1 KB for each target.
 */
const MAX_RESPONSE_BYTES = 8_388_608;

/** Creates the request listener that serves the calls. */
export function createPeerListener(handlers: PeerHandlers): RequestListener {
  return connectNodeAdapter({
    readMaxBytes: MAX_REQUEST_BYTES,
    routes: (router) =>
      router.service(PeerService, {
        fetchObjects: ({ positions }) => ({
          deltas: positions.flatMap(({ kind, ...position }) =>
            isObjectKind(kind)
              ? [deltaToMessage(kind, handlers.deltaSince(kind, position))]
              : []
          ),
        }),
        describe: () => ({ description: JSON.stringify(handlers.describe()) }),
      }),
  }) as RequestListener;
}

/**
 * Fetches the changes that a peer holds beyond the given positions.
 *
 * @throws {ConnectError} When the call fails or times out.
 */
export async function fetchObjects(
  peerAddress: string,
  positions: ReadonlyMap<ObjectKind, StorePosition>,
  timeoutMs: number,
): Promise<Map<ObjectKind, KindDelta>> {
  const response = await createPeerClient(peerAddress).fetchObjects({
    positions: [...positions].map(([kind, { epoch, revision }]) => ({
      kind,
      epoch,
      revision,
    })),
  }, { timeoutMs });
  const decoded = response.deltas.map(deltaFromMessage)
    .filter((delta) => delta !== undefined);
  return new Map(decoded.map(({ kind, delta }) => [kind, delta]));
}

/**
 * Fetches a host's description of its state for operators.
 *
 * @throws {ConnectError} When the call fails or times out.
 */
export async function describeHost(
  peerAddress: string,
  timeoutMs: number,
): Promise<unknown> {
  const response = await createPeerClient(peerAddress).describe({}, {
    timeoutMs,
  });
  return JSON.parse(response.description);
}

function createPeerClient(peerAddress: string) {
  return createClient(
    PeerService,
    createConnectTransport({
      baseUrl: `http://${peerAddress}`,
      httpVersion: "1.1",
      readMaxBytes: MAX_RESPONSE_BYTES,
    }),
  );
}
