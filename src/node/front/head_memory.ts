/**
 * Refuses callers whose unfinished request heads take up too much memory.
 *
 * @module
 */
import type { IncomingMessage, Server } from "node:http";
import type { Socket } from "node:net";
import { chooseHeadsToRefuse } from "../../core/limits/head_memory.ts";
import { writeRawRefusal } from "./raw_refusal.ts";

/**
 * Received bytes of all unfinished heads together. The parser keeps them as
 * strings on the heap, which is limited to 120 MB on small hosts.
 */
const MAX_UNFINISHED_BYTES = 33_554_432;
/** Time between two checks; a link of 1 Gbit/s carries 6 MB in it. */
const CHECK_INTERVAL_MS = 50;

interface ConnectionProgress {
  /** Bytes on the connection before the head that is awaited. */
  consumedBytes: number;
  requestsInProgress: number;
  /** The newest request, whose body may go on after its response. */
  lastRequest: IncomingMessage | undefined;
}

/**
 * Bounds the memory of unfinished heads on a server.
 *
 * @param options `maxHeadBytes` is the limit of the parser for one head,
 * `maxUnfinishedBytes` that of all unfinished heads together. `onRefused` is called with a refused connection, on which no request may be
 * handled any more.
 */
export function limitHeadMemory(
  server: Server,
  { maxHeadBytes, onRefused, maxUnfinishedBytes = MAX_UNFINISHED_BYTES }: {
    maxHeadBytes: number;
    onRefused: (socket: Socket) => void;
    maxUnfinishedBytes?: number;
  },
): void {
  const connections = new Map<Socket, ConnectionProgress>();
  const mayExceedLimit = () =>
    connections.size * maxHeadBytes > maxUnfinishedBytes;
  let timer: NodeJS.Timeout | undefined;
  server.on("connection", (socket) => {
    connections.set(socket, {
      consumedBytes: 0,
      requestsInProgress: 0,
      lastRequest: undefined,
    });
    socket.once("close", () => connections.delete(socket));
    // Few connections cannot exceed the limit and need no timer.
    if (mayExceedLimit()) timer ??= setInterval(check, CHECK_INTERVAL_MS);
  });
  server.on("request", (req, res) => {
    const progress = connections.get(req.socket);
    if (progress === undefined) return;
    progress.requestsInProgress += 1;
    progress.lastRequest = req;
    res.once("close", () => progress.requestsInProgress -= 1);
  });
  server.once("close", stopChecks);

  // Polled, as Node.js reads slower with a listener for the bytes.
  function check(): void {
    if (!mayExceedLimit()) return stopChecks();
    const heads = [...connections].map(([socket, progress]) => {
      const { lastRequest, requestsInProgress } = progress;
      if (lastRequest !== undefined) {
        // What has arrived until now may be its body.
        progress.consumedBytes = socket.bytesRead;
        if (lastRequest.complete && requestsInProgress === 0) {
          progress.lastRequest = undefined;
        }
      }
      return { socket, bytes: socket.bytesRead - progress.consumedBytes };
    });
    for (const { socket } of chooseHeadsToRefuse(heads, maxUnfinishedBytes)) {
      connections.delete(socket);
      onRefused(socket);
      writeRawRefusal(socket, "host_full");
    }
  }

  function stopChecks(): void {
    clearInterval(timer);
    timer = undefined;
  }
}
