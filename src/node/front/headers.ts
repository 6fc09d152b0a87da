/**
 * Headers of requests and responses that are forwarded between callers and
 * targets.
 *
 * @module
 */
import type { HeaderNames } from "../header_names.ts";

/** Hop-by-hop headers, which are not forwarded. */
const HOP_BY_HOP_HEADERS = new Set([
  "connection",
  "expect",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
]);

/** Header names and values in turn, as received. */
export type RawHeaders = readonly string[];

/** Values of the headers that are added to a request for a target. */
export interface AddedHeaders {
  /** Time left for the target, in milliseconds. */
  readonly remainingMs: number;
  readonly targetId: string;
  /** Organisation of the request; "" on routes that need no API key. */
  readonly organisation: string;
  /** Id of a request that the caller sent without one; "" otherwise. */
  readonly requestId: string;
}

/** Framing of a request body. */
export type BodyFraming =
  | { readonly type: "none" }
  | { readonly type: "sized"; readonly bytes: number }
  | { readonly type: "chunked" };

/**
 * Formats the request line and headers for a target. The API key of the caller
 * is not forwarded.
 *
 * @param request `host` replaces the host header, which an absolute request
 * target overrides.
 */
export function formatRequestHead(
  request: {
    method: string;
    path: string;
    rawHeaders: RawHeaders;
    host: string;
  },
  added: AddedHeaders,
  framing: BodyFraming,
  headerNames: HeaderNames,
): string {
  const omitted = new Set([
    "authorization",
    "content-length",
    "host",
    headerNames.timeoutMs,
    headerNames.targetId,
    headerNames.organisation,
    ...listConnectionOptions(request.rawHeaders),
  ]);
  let head = `${request.method} ${request.path} HTTP/1.1\r\n`;
  head += `Host: ${request.host}\r\n`;
  head += formatForwardedHeaders(request.rawHeaders, omitted);
  if (added.requestId !== "") {
    head += `${headerNames.requestId}: ${added.requestId}\r\n`;
  }
  const remainingMs = Math.max(1, Math.floor(added.remainingMs));
  head += `${headerNames.timeoutMs}: ${remainingMs}\r\n`;
  head += `${headerNames.targetId}: ${added.targetId}\r\n`;
  if (added.organisation !== "") {
    head += `${headerNames.organisation}: ${added.organisation}\r\n`;
  }
  if (framing.type === "sized") head += `content-length: ${framing.bytes}\r\n`;
  if (framing.type === "chunked") head += "transfer-encoding: chunked\r\n";
  return head + "\r\n";
}

/**
 * Filters the headers of a target's response for the caller. Framing headers
 * are left out, as the response to the caller gets its own.
 */
export function filterResponseHeaders(rawHeaders: RawHeaders): string[] {
  const omitted = new Set([
    "content-length",
    ...listConnectionOptions(rawHeaders),
  ]);
  const forwarded: string[] = [];
  for (let i = 0; i < rawHeaders.length; i += 2) {
    const name = rawHeaders[i].toLowerCase();
    if (HOP_BY_HOP_HEADERS.has(name) || omitted.has(name)) continue;
    forwarded.push(rawHeaders[i], rawHeaders[i + 1]);
  }
  return forwarded;
}

/** Counts the bytes of headers, including their separators. */
export function countHeaderBytes(rawHeaders: RawHeaders): number {
  let bytes = 0;
  for (const text of rawHeaders) bytes += text.length + 2;
  return bytes;
}

function formatForwardedHeaders(
  rawHeaders: RawHeaders,
  omitted: Set<string>,
): string {
  let text = "";
  for (let i = 0; i < rawHeaders.length; i += 2) {
    const name = rawHeaders[i].toLowerCase();
    if (HOP_BY_HOP_HEADERS.has(name) || omitted.has(name)) continue;
    text += `${rawHeaders[i]}: ${rawHeaders[i + 1]}\r\n`;
  }
  return text;
}

/** Lists the options of `connection` headers: further hop-by-hop headers. */
function listConnectionOptions(rawHeaders: RawHeaders): string[] {
  const options: string[] = [];
  for (let i = 0; i < rawHeaders.length; i += 2) {
    if (rawHeaders[i].toLowerCase() !== "connection") continue;
    for (const option of rawHeaders[i + 1].split(",")) {
      options.push(option.trim().toLowerCase());
    }
  }
  return options;
}
