/**
 * Refuses callers whose unfinished request heads take up too much memory.
 *
 * @module
 */
import type { Server } from "node:http";
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
}

/**
 * Bounds the memory of unfinished heads on a server.
 *
 * @param options `maxHeadBytes` is the limit of the parser for one head.
 */
export function limitHeadMemory(
  server: Server,
  { maxHeadBytes }: { maxHeadBytes: number },
): void {
  const connections = new Map<Socket, ConnectionProgress>();
  const mayExceedLimit = () =>
    connections.size * maxHeadBytes > MAX_UNFINISHED_BYTES;
  let timer: NodeJS.Timeout | undefined;
  server.on("connection", (socket) => {
    connections.set(socket, { consumedBytes: 0, requestsInProgress: 0 });
    socket.once("close", () => connections.delete(socket));
    // Few connections cannot exceed the limit and need no timer.
    if (mayExceedLimit()) timer ??= setInterval(check, CHECK_INTERVAL_MS);
  });
  server.on("request", ({ socket }, res) => {
    const progress = connections.get(socket);
    if (progress === undefined) return;
    progress.requestsInProgress += 1;
    res.once("close", () => {
      progress.requestsInProgress -= 1;
      progress.consumedBytes = socket.bytesRead;
    });
  });
  server.once("close", stopChecks);

  // Polled, as Node.js reads slower with a listener for the bytes.
  function check(): void {
    if (!mayExceedLimit()) return stopChecks();
    const heads = [...connections]
      .filter(([, { requestsInProgress }]) => requestsInProgress === 0)
      .map(([socket, { consumedBytes }]) => ({
        socket,
        bytes: socket.bytesRead - consumedBytes,
      }));
    for (const { socket } of chooseHeadsToRefuse(heads, MAX_UNFINISHED_BYTES)) {
      connections.delete(socket);
      writeRawRefusal(socket, "host_full");
    }
  }

  function stopChecks(): void {
    clearInterval(timer);
    timer = undefined;
  }
}
