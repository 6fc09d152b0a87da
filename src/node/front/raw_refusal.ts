/**
 * Refusals on connections without a response object of Node.js.
 *
 * @module
 */
import { STATUS_CODES } from "node:http";
import type { Duplex } from "node:stream";
import { createRefusal, type ErrorKind } from "../../core/errors.ts";
import { RAN_HEADER } from "../header_names.ts";

/** Writes a refusal and closes the connection. */
export function writeRawRefusal(socket: Duplex, errorKind: ErrorKind): void {
  socket.on("error", () => {});
  const { kind, status, message, ran, retryAfterMs } = createRefusal(
    errorKind,
    Math.random,
  );
  const body = JSON.stringify({ error: { kind, message, ran, retryAfterMs } });
  const retryAfter = retryAfterMs > 0
    ? `retry-after: ${(retryAfterMs / 1_000).toFixed(3)}\r\n`
    : "";
  socket.end(
    `HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\n` +
      "content-type: application/json\r\n" +
      `content-length: ${Buffer.byteLength(body)}\r\n` +
      `${RAN_HEADER}: ${ran}\r\n${retryAfter}connection: close\r\n\r\n${body}`,
    () => socket.destroy(),
  );
}
