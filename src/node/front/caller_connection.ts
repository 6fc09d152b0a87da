/**
 * Connections of callers, on which several requests may wait for responses at a
 * time, and the ways in which a host ends them.
 *
 * @module
 */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { PipelinedRequests } from "../../core/connection/pipelined_requests.ts";
import type { ErrorKind } from "../../core/errors.ts";
import { formatRawRefusal } from "./raw_refusal.ts";

/**
 * Time from the last byte of a closing response to the close of the connection,
 * for a caller that still sends. A close with unread bytes resets the connection
 * and may take the response from the caller.
 */
const LINGER_MS = 1_000;

/** A request on a connection. */
interface NumberedRequest {
  /** Number of the request on its connection. */
  readonly number: number;
  readonly req: IncomingMessage;
  /** See `CallerConnection.add`. */
  readonly cancel: () => boolean;
}

const connections = new WeakMap<Socket, CallerConnection>();

/** Returns the connection of a socket, the same one with each call. */
export function getCallerConnection(socket: Socket): CallerConnection {
  let connection = connections.get(socket);
  if (connection === undefined) {
    connection = new CallerConnection(socket);
    connections.set(socket, connection);
  }
  return connection;
}

/** Error kinds by the code of Node.js for bytes that are no request. */
const KINDS_BY_CODE: Readonly<Record<string, ErrorKind>> = {
  HPE_HEADER_OVERFLOW: "header_too_large",
  ERR_HTTP_REQUEST_TIMEOUT: "request_timeout",
};

/**
 * Refuses bytes that are no request, and heads that take too long, after the
 * responses to the requests before them. Node.js closes the connection at once
 * otherwise, or sends the refusal as the response to an earlier request.
 */
export function refuseMalformedRequests(server: Server): void {
  server.on("clientError", (error: NodeJS.ErrnoException, socket: Socket) => {
    const { code = "" } = error;
    // The caller sends more after a request that closes the connection.
    if (code === "HPE_CLOSED_CONNECTION") return;
    const kind = code.startsWith("HPE_") ? "bad_request" : undefined;
    const refusalKind = KINDS_BY_CODE[code] ?? kind;
    if (refusalKind === undefined) return void socket.destroy();
    getCallerConnection(socket).refuseRest(refusalKind);
  });
}

/** A connection of a caller, or of a host that relays requests. */
export class CallerConnection {
  readonly #socket: Socket;
  readonly #requests = new PipelinedRequests();
  readonly #numbers = new WeakMap<ServerResponse, number>();
  #requestCount = 0;
  /** The newest request, unless it was received and answered completely. */
  #newest: NumberedRequest | undefined;
  /** Called when no response is outstanding any more. */
  #onIdle: (() => void) | undefined;
  #isLingering = false;

  constructor(socket: Socket) {
    this.#socket = socket;
    // Node.js calls this after a response that closes the connection.
    socket.destroySoon = () => this.#closeAfterLinger();
  }

  /** Whether the host has closed its side of the connection. */
  get isEndedByHost(): boolean {
    return this.#isLingering;
  }

  /**
   * Adds a request; further calls for the same request have no effect. Returns
   * false if it must not be handled, as it comes behind a response that closes
   * the connection.
   *
   * @param cancel Called when the rest of the request cannot be read. Returns
   * whether the request was cancelled, and is refused; false if it has a response
   * already.
   */
  add(
    req: IncomingMessage,
    res: ServerResponse,
    cancel: () => boolean = () => true,
  ): boolean {
    const knownNumber = this.#numbers.get(res);
    if (knownNumber !== undefined) return this.#requests.has(knownNumber);
    const number = this.#requestCount + 1;
    if (!this.#requests.add(number)) return false;
    this.#requestCount = number;
    this.#numbers.set(res, number);
    this.#newest = { number, req, cancel };
    res.once("close", () => this.#remove(number));
    return true;
  }

  /** Decides whether a response closes the connection, as its head is written. */
  closesAfter(
    res: ServerResponse,
    { isWanted, isRequired }: { isWanted: boolean; isRequired: boolean },
  ): boolean {
    return this.#requests.closesAfter(this.#numbers.get(res) ?? 0, {
      isWanted,
      isRequired,
      isNext: res.socket !== null,
    });
  }

  /**
   * Refuses what follows the requests that have arrived, and closes the
   * connection. The refusal is sent after the responses to these requests.
   */
  refuseRest(kind: ErrorKind): void {
    if (this.#requests.isClosing) return;
    const newest = this.#newest;
    if (newest !== undefined && !newest.req.complete) {
      const isAnswered = !this.#requests.has(newest.number);
      if (isAnswered || !newest.cancel()) return this.closeAfterResponses();
      this.#requests.remove(newest.number);
    }
    this.#closeWhenIdle(() =>
      this.#socket.write(formatRawRefusal(kind, Math.random))
    );
    this.#runIfIdle();
  }

  /** Closes the connection after the responses to all requests so far. */
  closeAfterResponses(): void {
    if (this.#requests.isClosing) return;
    this.#closeWhenIdle(() => {});
    this.#runIfIdle();
  }

  #remove(number: number): void {
    this.#requests.remove(number);
    const { number: newestNumber, req } = this.#newest ?? {};
    if (newestNumber === number && req?.complete) this.#newest = undefined;
    this.#runIfIdle();
  }

  #closeWhenIdle(writeLast: () => void): void {
    this.#requests.stopReading();
    this.#onIdle = () => {
      if (this.#socket.writable) writeLast();
      this.#closeAfterLinger();
    };
  }

  #runIfIdle(): void {
    if (!this.#requests.isIdle) return;
    this.#onIdle?.();
    this.#onIdle = undefined;
  }

  /** Ends the own side and waits for the end of the caller's side. */
  #closeAfterLinger(): void {
    const socket = this.#socket;
    if (this.#isLingering || socket.destroyed) return;
    this.#isLingering = true;
    socket.end(() => {
      if (socket.destroyed) return;
      const timer = setTimeout(() => socket.destroy(), LINGER_MS);
      socket.once("close", () => clearTimeout(timer));
    });
  }
}
