/**
 * Refusals on connections without a response object of Node.js.
 *
 * @module
 */
import { STATUS_CODES } from "node:http";
import { createRefusal, type ErrorKind } from "../../core/errors.ts";
import type { Random } from "../../core/types.ts";
import { RAN_HEADER } from "../header_names.ts";

/** Formats a refusal that closes the connection. */
export function formatRawRefusal(errorKind: ErrorKind, random: Random): string {
  const { kind, status, message, ran, retryAfterMs } = createRefusal(
    errorKind,
    random,
  );
  const body = JSON.stringify({ error: { kind, message, ran, retryAfterMs } });
  const retryAfter = retryAfterMs > 0
    ? `retry-after: ${(retryAfterMs / 1_000).toFixed(3)}\r\n`
    : "";
  return `HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\n` +
    "content-type: application/json\r\n" +
    `content-length: ${Buffer.byteLength(body)}\r\n` +
    `${RAN_HEADER}: ${ran}\r\n${retryAfter}connection: close\r\n\r\n${body}`;
}
