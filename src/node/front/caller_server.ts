/**
 * HTTP server that accepts requests of callers.
 *
 * @module
 */
import { createServer, type RequestListener, type Server } from "node:http";
import type { Socket } from "node:net";
import { createRefusal } from "../../core/errors.ts";
import type { ConnectionDecision } from "../../core/limits/connection_limit.ts";
import {
  getCallerConnection,
  refuseMalformedRequests,
} from "./caller_connection.ts";
import { limitHeadMemory } from "./head_memory.ts";
import { writeRefusal } from "./response_writer.ts";

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
/** Time in which a refused caller has to send its request to be answered. */
const REFUSED_TIMEOUT_MS = 1_000;
/** Parser limit until a document sets it, and its upper limit. */
const MAX_HEADER_BYTES = 131_072;
/**
 * Parser limit as a multiple of the limit of the document, which is checked
 * after parsing, so that heads a little above it get a refusal that names it.
 * Thousands of connections may each hold an unfinished head of this size.
 */
const PARSER_LIMIT_FACTOR = 2;
/** Least parser limit, for documents with a very small limit of their own. */
const MIN_PARSER_LIMIT = 16_384;

/** Options of servers that accept requests for targets. */
export const FORWARDING_SERVER_OPTIONS = {
  maxHeaderSize: MAX_HEADER_BYTES,
  // A slow body is bounded by the deadline of the request instead.
  requestTimeout: 0,
  noDelay: true,
} as const;

/** Limits of connections, as the document sets them. */
export interface CallerLimits {
  /** Largest head of a request. */
  readonly maxHeaderBytes: number;
  /** Time in which all headers of a request have to arrive. */
  readonly headerTimeoutMs: number;
  /** Time for which callers may keep an idle connection. */
  readonly idleTimeoutMs: number;
}

/** Options of `createCallerServer`. */
export interface CallerServerOptions {
  /**
   * Decides on a new connection; accepts all by default.
   *
   * @param callerConnections Number of open connections, with the new one.
   */
  readonly decideConnection?: (callerConnections: number) => ConnectionDecision;
}

/** Creates the server; it does not listen yet. */
export function createCallerServer(
  handle: RequestListener,
  { decideConnection = () => "accept" }: CallerServerOptions = {},
): Server {
  const refusedSockets = new WeakSet<Socket>();
  let callerConnections = 0;
  const server = createServer({
    ...FORWARDING_SERVER_OPTIONS,
    keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MS,
    headersTimeout: DEFAULT_HEADERS_TIMEOUT_MS,
    connectionsCheckingInterval: HEADERS_CHECK_INTERVAL_MS,
  }, (req, res) => {
    if (!refusedSockets.has(req.socket)) return handle(req, res);
    req.resume();
    writeRefusal(res, createRefusal("host_full", Math.random), {
      closesConnection: true,
    });
  });
  server.on("connection", (socket) => {
    callerConnections += 1;
    socket.once("close", () => callerConnections -= 1);
    const decision = decideConnection(callerConnections);
    if (decision === "accept") return;
    if (decision === "close") return void socket.destroy();
    refusedSockets.add(socket);
    const timer = setTimeout(() => socket.destroy(), REFUSED_TIMEOUT_MS);
    socket.once("close", () => clearTimeout(timer));
  });
  // Node.js closes the connection of this method without a response otherwise.
  server.on("connect", (_req, socket: Socket) => {
    socket.on("error", () => {});
    socket.resume();
    getCallerConnection(socket).refuseRest("method_unsupported");
  });
  refuseMalformedRequests(server);
  limitHeadMemory(server, {
    maxHeadBytes: MAX_HEADER_BYTES,
    onRefused: (socket) => refusedSockets.add(socket),
  });
  return server;
}

/** Applies the limits of a new document to a running server. */
export function applyCallerLimits(
  server: Server,
  { maxHeaderBytes, headerTimeoutMs, idleTimeoutMs }: CallerLimits,
): void {
  const parserLimit = Math.max(
    MIN_PARSER_LIMIT,
    Math.min(MAX_HEADER_BYTES, PARSER_LIMIT_FACTOR * maxHeaderBytes),
  );
  // Node.js reads this property of the server for each new connection.
  (server as { maxHeaderSize?: number }).maxHeaderSize = parserLimit;
  server.keepAliveTimeout = idleTimeoutMs + IDLE_TIMEOUT_MARGIN_MS;
  server.headersTimeout = headerTimeoutMs + HEADERS_TIMEOUT_MARGIN_MS;
}
