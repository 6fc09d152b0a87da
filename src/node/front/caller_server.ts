/**
 * HTTP server that accepts requests of callers.
 *
 * @module
 */
import { createServer, type RequestListener, type Server } from "node:http";
import { limitHeadMemory } from "./head_memory.ts";
import { writeRawRefusal } from "./raw_refusal.ts";

/** Idle time of a connection until a document sets it. */
const DEFAULT_IDLE_TIMEOUT_MS = 60_000;
/**
 * Callers may reuse a connection until its idle time has passed, so the server
 * closes it later.
 */
const IDLE_TIMEOUT_MARGIN_MS = 2_000;
/** Time for the headers of a request until a document sets it. */
const DEFAULT_HEADERS_TIMEOUT_MS = 5_000;
/** Time for headers that a slow link holds up, beyond the document's limit. */
const HEADERS_TIMEOUT_MARGIN_MS = 1_000;
/** Time between two checks for headers that are overdue. */
const HEADERS_CHECK_INTERVAL_MS = 1_000;
/** Parser limit; the limit of the document is checked after parsing. */
const MAX_HEADER_BYTES = 131_072;

/** Options of servers that accept requests for targets. */
export const FORWARDING_SERVER_OPTIONS = {
  maxHeaderSize: MAX_HEADER_BYTES,
  // A slow body is bounded by the deadline of the request instead.
  requestTimeout: 0,
  noDelay: true,
} as const;

/** Time limits of connections, as the document sets them. */
export interface CallerLimits {
  /** Time in which all headers of a request have to arrive. */
  readonly headerTimeoutMs: number;
  /** Time for which callers may keep an idle connection. */
  readonly idleTimeoutMs: number;
}

/** Creates the server; it does not listen yet. */
export function createCallerServer(handle: RequestListener): Server {
  const server = createServer({
    ...FORWARDING_SERVER_OPTIONS,
    keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MS,
    headersTimeout: DEFAULT_HEADERS_TIMEOUT_MS,
    connectionsCheckingInterval: HEADERS_CHECK_INTERVAL_MS,
  }, handle);
  // Node.js closes the connection of this method without a response otherwise.
  server.on(
    "connect",
    (_req, socket) => writeRawRefusal(socket, "method_unsupported"),
  );
  limitHeadMemory(server, { maxHeadBytes: MAX_HEADER_BYTES });
  return server;
}

/** Applies the limits of a new document to a running server. */
export function applyCallerLimits(
  server: Server,
  { headerTimeoutMs, idleTimeoutMs }: CallerLimits,
): void {
  server.keepAliveTimeout = idleTimeoutMs + IDLE_TIMEOUT_MARGIN_MS;
  server.headersTimeout = headerTimeoutMs + HEADERS_TIMEOUT_MARGIN_MS;
}
