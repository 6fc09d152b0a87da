/**
 * connect-es side of the calls between hosts.
 *
 * @module
 */
import type { RequestListener } from "node:http";
import { createClient } from "@connectrpc/connect";
import {
  connectNodeAdapter,
  createConnectTransport,
} from "@connectrpc/connect-node";
import type { KindDelta, ObjectKind } from "../../core/store/types.ts";
import { PeerService } from "../../gen/cranberryhoist/v1/peer_pb.ts";
import type { PeerHandlers } from "./peer_service.ts";
import {
  deltaFromMessage,
  deltaToMessage,
  isObjectKind,
} from "./delta_codec.ts";

/** Creates the handler of calls. */
export function createPeerListener(handlers: PeerHandlers): RequestListener {
  return connectNodeAdapter({
    routes: (router) =>
      router.service(PeerService, {
        fetchObjects: ({ positions }) => ({
          deltas: positions.flatMap(({ kind, revision }) =>
            isObjectKind(kind)
              ? [deltaToMessage(kind, handlers.deltaSince(kind, revision))]
              : []
          ),
        }),
        describe: () => ({ description: JSON.stringify(handlers.describe()) }),
      }),
  }) as RequestListener;
}

/** Fetches what a peer holds beyond own positions. */
export async function fetchObjects(
  peerAddress: string,
  positions: ReadonlyMap<ObjectKind, number>,
  timeoutMs: number,
): Promise<Map<ObjectKind, KindDelta>> {
  const answer = await createPeerClient(peerAddress).fetchObjects({
    positions: [...positions].map(([kind, revision]) => ({ kind, revision })),
  }, { timeoutMs });
  const decoded = answer.deltas.map(deltaFromMessage)
    .filter((one) => one !== undefined);
  return new Map(decoded.map(({ kind, delta }) => [kind, delta]));
}

/** Asks a host what it knows. */
export async function describeHost(
  peerAddress: string,
  timeoutMs: number,
): Promise<unknown> {
  const answer = await createPeerClient(peerAddress).describe({}, {
    timeoutMs,
  });
  return JSON.parse(answer.description);
}

function createPeerClient(peerAddress: string) {
  return createClient(
    PeerService,
    createConnectTransport({
      baseUrl: `http://${peerAddress}`,
      httpVersion: "1.1",
    }),
  );
}
