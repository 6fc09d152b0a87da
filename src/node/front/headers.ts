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

/** Values of the headers that are added to a request for another host. */
export interface RelayHeaders {
  /** Time left for the other host, in milliseconds. */
  readonly remainingMs: number;
  /** Attempts that the other host may make. */
  readonly maxAttempts: number;
  /** Id of a request that the caller sent without one; "" otherwise. */
  readonly requestId: string;
}

/**
 * Header of a relayed request: the attempts that the host that relays it allows.
 */
export const RELAYED_ATTEMPTS_HEADER = "x-cranberry-relayed-attempts";

/** Framing of a request body. */
export type BodyFraming =
  | { readonly type: "none" }
  | { readonly type: "sized"; readonly bytes: number }
  | { readonly type: "chunked" };

/** A caller's request that is sent on. */
export interface ForwardedRequest {
  readonly method: string;
  readonly path: string;
  readonly rawHeaders: RawHeaders;
  /** Replaces the host header, which an absolute request target overrides. */
  readonly host: string;
}

/**
 * Formats the request line and headers for a target. The API key of the caller
 * is not forwarded.
 */
export function formatRequestHead(
  request: ForwardedRequest,
  added: AddedHeaders,
  framing: BodyFraming,
  headerNames: HeaderNames,
): string {
  const { targetId, organisation } = added;
  let lines = `${headerNames.targetId}: ${targetId}\r\n`;
  if (organisation !== "") {
    lines += `${headerNames.organisation}: ${organisation}\r\n`;
  }
  return formatHead(request, { ...added, lines }, framing, {
    headerNames,
    omitted: ["authorization"],
  });
}

/**
 * Formats the request line and headers for another host, which checks the
 * caller's API key itself.
 */
export function formatRelayHead(
  request: ForwardedRequest,
  added: RelayHeaders,
  framing: BodyFraming,
  headerNames: HeaderNames,
): string {
  const lines = `${RELAYED_ATTEMPTS_HEADER}: ${added.maxAttempts}\r\n`;
  return formatHead(request, { ...added, lines }, framing, {
    headerNames,
    omitted: [],
  });
}

/**
 * Formats the request line, the forwarded headers and those that are added.
 * Headers by which this system passes on what it knows are never taken from the
 * request.
 */
function formatHead(
  request: ForwardedRequest,
  added: {
    readonly remainingMs: number;
    readonly requestId: string;
    /** Further header lines. */
    readonly lines: string;
  },
  framing: BodyFraming,
  { headerNames, omitted }: {
    headerNames: HeaderNames;
    omitted: readonly string[];
  },
): string {
  const allOmitted = new Set([
    "content-length",
    "host",
    RELAYED_ATTEMPTS_HEADER,
    headerNames.timeoutMs,
    headerNames.targetId,
    headerNames.organisation,
    ...omitted,
    ...listConnectionOptions(request.rawHeaders),
  ]);
  let head = `${request.method} ${request.path} HTTP/1.1\r\n`;
  head += `Host: ${request.host}\r\n`;
  head += formatForwardedHeaders(request.rawHeaders, allOmitted);
  if (added.requestId !== "") {
    head += `${headerNames.requestId}: ${added.requestId}\r\n`;
  }
  const remainingMs = Math.max(1, Math.floor(added.remainingMs));
  head += `${headerNames.timeoutMs}: ${remainingMs}\r\n`;
  head += added.lines;
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
