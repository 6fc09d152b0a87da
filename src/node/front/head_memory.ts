/**
 * Refuses callers whose unfinished request heads take up too much memory.
 *
 * @module
 */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { chooseHeadsToRefuse } from "../../core/limits/head_memory.ts";
import { getCallerConnection } from "./caller_connection.ts";
import { countHeaderBytes } from "./headers.ts";
import { hasBody } from "./request_body.ts";

/**
 * Received bytes of all unfinished heads together. The parser keeps them as
 * strings on the heap, which is limited to 120 MB on small hosts.
 */
const MAX_UNFINISHED_BYTES = 33_554_432;
/**
 * Bytes of refused heads that are kept for the responses before them, as a
 * fraction of the limit. Connections beyond it are closed at once.
 */
const REFUSED_FRACTION = 0.5;
/** Time between two checks; a link of 1 Gbit/s carries 6 MB in it. */
const CHECK_INTERVAL_MS = 50;

/** Bytes of a head that its parsed parts may lack, such as optional spaces. */
const MAX_UNCOUNTED_BYTES = 1_024;

interface ConnectionProgress {
  /** Bytes on the connection before the head that is awaited. */
  consumedBytes: number;
  /** Requests whose bodies are being received; they do not count as heads. */
  unfinishedBodies: number;
  /** Whether the head was refused; it is kept until the connection closes. */
  isRefused: boolean;
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
      isRefused: false,
    });
    socket.once("close", () => connections.delete(socket));
    // Few connections cannot exceed the limit and need no timer.
    if (mayExceedLimit()) timer ??= setInterval(check, CHECK_INTERVAL_MS);
  });
  // A caller may send the next head before it has the response to the last one.
  server.on("request", (req: IncomingMessage, res: ServerResponse) => {
    const { socket } = req;
    getCallerConnection(socket).add(req, res);
    const progress = connections.get(socket);
    if (progress === undefined) return;
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
      .map(([socket, progress]) => ({
        socket,
        progress,
        bytes: socket.bytesRead - progress.consumedBytes,
      }));
    // The parser keeps a refused head until the responses before it were sent.
    const refused = heads.filter(({ progress }) => progress.isRefused);
    const maxRefusedBytes = maxUnfinishedBytes * REFUSED_FRACTION;
    for (const { socket } of chooseHeadsToRefuse(refused, maxRefusedBytes)) {
      socket.destroy();
    }
    const awaited = heads.filter(({ progress }) => !progress.isRefused);
    for (
      const { socket, progress } of chooseHeadsToRefuse(
        awaited,
        maxUnfinishedBytes,
      )
    ) {
      progress.isRefused = true;
      onRefused(socket);
      socket.pause();
      getCallerConnection(socket).refuseRest("host_full");
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
