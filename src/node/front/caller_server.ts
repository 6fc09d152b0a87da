/**
 * Server for requests of callers.
 *
 * @module
 */
import { createServer, type RequestListener, type Server } from "node:http";

/** Idle time of a connection before the document states one. */
const DEFAULT_IDLE_MS = 60_000;
/** Callers may use a connection up to its idle time, so it is kept longer. */
const IDLE_MARGIN_MS = 2_000;
/** Largest headers that are read; the document's limit is checked after. */
const MAX_HEADER_BYTES = 131_072;

/** Limits of callers. */
export interface CallerLimits {
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** Creates the server. */
export function createCallerServer(handle: RequestListener): Server {
  const server = createServer({
    keepAliveTimeout: DEFAULT_IDLE_MS,
    maxHeaderSize: MAX_HEADER_BYTES,
    // A body may take as long as the caller's deadline allows.
    requestTimeout: 0,
    noDelay: true,
  }, handle);
  return server;
}

/** Takes over the limits of a document. */
export function applyCallerLimits(
  server: Server,
  { headerTimeoutMs, idleTimeoutMs }: CallerLimits,
): void {
  server.keepAliveTimeout = idleTimeoutMs + IDLE_MARGIN_MS;
  server.headersTimeout = headerTimeoutMs;
}
