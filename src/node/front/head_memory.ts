/**
 * Refuses callers whose unfinished request heads take up too much memory.
 *
 * @module
 */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { chooseHeadsToRefuse } from "../../core/limits/head_memory.ts";
import { countHeaderBytes } from "./headers.ts";
import { hasBody } from "./request_body.ts";
import { writeRawRefusal } from "./raw_refusal.ts";

/**
 * Received bytes of all unfinished heads together. The parser keeps them as
 * strings on the heap, which is limited to 120 MB on small hosts.
 */
const MAX_UNFINISHED_BYTES = 33_554_432;
/** Time between two checks; a link of 1 Gbit/s carries 6 MB in it. */
const CHECK_INTERVAL_MS = 50;

/** Bytes of a head that its parsed parts may lack, such as optional spaces. */
const MAX_UNCOUNTED_BYTES = 1_024;

interface ConnectionProgress {
  /** Bytes on the connection before the head that is awaited. */
  consumedBytes: number;
  /** Requests whose bodies are being received; they do not count as heads. */
  unfinishedBodies: number;
  /** Requests without a complete response. */
  requestsInProgress: number;
}

/**
 * Bounds the memory of unfinished heads on a server.
 *
 * @param options `maxHeadBytes` is the limit of the parser for one head,
 * `maxUnfinishedBytes` that of all unfinished heads together. `onRefused` is
 * called with a refused connection, on which no request may be handled any
 * more.
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
      unfinishedBodies: 0,
      requestsInProgress: 0,
    });
    socket.once("close", () => connections.delete(socket));
    // Few connections cannot exceed the limit and need no timer.
    if (mayExceedLimit()) timer ??= setInterval(check, CHECK_INTERVAL_MS);
  });
  // A caller may send the next head before it has the response to the last one.
  server.on("request", (req: IncomingMessage, res: ServerResponse) => {
    const { socket } = req;
    const progress = connections.get(socket);
    if (progress === undefined) return;
    progress.requestsInProgress += 1;
    res.once("close", () => progress.requestsInProgress -= 1);
    if (!hasBody(req)) {
      progress.consumedBytes = findHeadEnd(req, progress.consumedBytes);
      return;
    }
    progress.unfinishedBodies += 1;
    // Up to 64 KB of the next head may have been read with the end of the body.
    req.once("end", () => {
      progress.unfinishedBodies -= 1;
      progress.consumedBytes = socket.bytesRead;
    });
  });
  server.once("close", stopChecks);

  // Polled, as Node.js reads slower with a listener for the bytes.
  function check(): void {
    if (!mayExceedLimit()) return stopChecks();
    const heads = [...connections]
      .filter(([, { unfinishedBodies }]) => unfinishedBodies === 0)
      .map(([socket, { consumedBytes, requestsInProgress }]) => ({
        socket,
        requestsInProgress,
        bytes: socket.bytesRead - consumedBytes,
      }));
    for (
      const { socket, requestsInProgress } of chooseHeadsToRefuse(
        heads,
        maxUnfinishedBytes,
      )
    ) {
      connections.delete(socket);
      onRefused(socket);
      // A refusal would be taken for the response to the request before.
      if (requestsInProgress > 0) socket.destroy();
      else writeRawRefusal(socket, "host_full");
    }
  }

  function stopChecks(): void {
    clearInterval(timer);
    timer = undefined;
  }
}

/** Returns the bytes on a connection up to the end of a request's head. */
function findHeadEnd(req: IncomingMessage, startBytes: number): number {
  const { socket, method = "", url = "", rawHeaders } = req;
  const lineBytes = `${method} ${url} HTTP/1.1\r\n\r\n`.length;
  const endBytes = startBytes + lineBytes + countHeaderBytes(rawHeaders);
  // Without a later head, the rest is due to the parts that were not counted.
  return socket.bytesRead - endBytes > MAX_UNCOUNTED_BYTES
    ? endBytes
    : socket.bytesRead;
}
