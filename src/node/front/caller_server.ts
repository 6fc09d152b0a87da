/**
 * HTTP server that accepts requests of callers.
 *
 * @module
 */
import { createServer, type RequestListener, type Server } from "node:http";

/** Idle time of a connection until a document sets it. */
const DEFAULT_IDLE_TIMEOUT_MS = 60_000;
/**
 * Callers may reuse a connection until its idle time has passed, so the server
 * closes it later.
 */
const IDLE_TIMEOUT_MARGIN_MS = 2_000;
/** Parser limit; the limit of the document is checked after parsing. */
const MAX_HEADER_BYTES = 131_072;

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
    keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MS,
    maxHeaderSize: MAX_HEADER_BYTES,
    // A slow body is bounded by the deadline of the request instead.
    requestTimeout: 0,
    noDelay: true,
  }, handle);
  return server;
}

/** Applies the limits of a new document to a running server. */
export function applyCallerLimits(
  server: Server,
  { headerTimeoutMs, idleTimeoutMs }: CallerLimits,
): void {
  server.keepAliveTimeout = idleTimeoutMs + IDLE_TIMEOUT_MARGIN_MS;
  server.headersTimeout = headerTimeoutMs;
}
