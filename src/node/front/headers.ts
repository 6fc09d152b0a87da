/**
 * Headers between callers and targets.
 *
 * @module
 */
import type { HeaderNames } from "../header_names.ts";

/** Headers that concern one connection only. */
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

/** Headers as names and values by turns. */
export type RawHeaders = readonly string[];

/** What this system tells a target. */
export interface AddedHeaders {
  /** Time left for the target, in milliseconds. */
  readonly remainingMs: number;
  readonly targetId: string;
  /** Organisation of the request; "" on open routes. */
  readonly organisation: string;
}

/** How the body of a request is framed. */
export type BodyFraming =
  | { readonly type: "none" }
  | { readonly type: "sized"; readonly bytes: number }
  | { readonly type: "chunked" };

/**
 * Builds the start line and headers for a target. The caller's key is left
 * out.
 */
export function formatRequestHead(
  start: { method: string; path: string; rawHeaders: RawHeaders },
  own: AddedHeaders,
  framing: BodyFraming,
  names: HeaderNames,
): string {
  const dropped = new Set([
    "authorization",
    "content-length",
    names.timeoutMs,
    names.targetId,
    names.organisation,
    ...listConnectionOptions(start.rawHeaders),
  ]);
  let head = `${start.method} ${start.path} HTTP/1.1\r\n`;
  head += formatForwardedHeaders(start.rawHeaders, dropped);
  const remainingMs = Math.max(1, Math.floor(own.remainingMs));
  head += `${names.timeoutMs}: ${remainingMs}\r\n`;
  head += `${names.targetId}: ${own.targetId}\r\n`;
  if (own.organisation !== "") {
    head += `${names.organisation}: ${own.organisation}\r\n`;
  }
  if (framing.type === "sized") head += `content-length: ${framing.bytes}\r\n`;
  if (framing.type === "chunked") head += "transfer-encoding: chunked\r\n";
  return head + "\r\n";
}

/** Headers of a target's answer for the caller, framing left out. */
export function filterResponseHeaders(rawHeaders: RawHeaders): string[] {
  const dropped = new Set([
    "content-length",
    ...listConnectionOptions(rawHeaders),
  ]);
  const kept: string[] = [];
  for (let i = 0; i < rawHeaders.length; i += 2) {
    const name = rawHeaders[i].toLowerCase();
    if (HOP_BY_HOP_HEADERS.has(name) || dropped.has(name)) continue;
    kept.push(rawHeaders[i], rawHeaders[i + 1]);
  }
  return kept;
}

/** Length of headers in bytes, with their separators. */
export function countHeaderBytes(rawHeaders: RawHeaders): number {
  let bytes = 0;
  for (const text of rawHeaders) bytes += text.length + 2;
  return bytes;
}

function formatForwardedHeaders(
  rawHeaders: RawHeaders,
  dropped: Set<string>,
): string {
  let text = "";
  for (let i = 0; i < rawHeaders.length; i += 2) {
    const name = rawHeaders[i].toLowerCase();
    if (HOP_BY_HOP_HEADERS.has(name) || dropped.has(name)) continue;
    text += `${rawHeaders[i]}: ${rawHeaders[i + 1]}\r\n`;
  }
  return text;
}

/** Headers that `connection` names as concerning the connection. */
function listConnectionOptions(rawHeaders: RawHeaders): string[] {
  const names: string[] = [];
  for (let i = 0; i < rawHeaders.length; i += 2) {
    if (rawHeaders[i].toLowerCase() !== "connection") continue;
    for (const name of rawHeaders[i + 1].split(",")) {
      names.push(name.trim().toLowerCase());
    }
  }
  return names;
}
