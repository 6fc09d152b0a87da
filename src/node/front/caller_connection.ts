/**
 * Connections of callers, on which several requests may wait for responses at a
 * time, and the ways in which a host ends them.
 *
 * @module
 */
import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { PipelinedRequests } from "../../core/connection/pipelined_requests.ts";

/** A request on a connection. */
interface NumberedRequest {
  /** Number of the request on its connection. */
  readonly number: number;
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

/** A connection of a caller, or of a host that relays requests. */
export class CallerConnection {
  readonly #requests = new PipelinedRequests();
  readonly #numbers = new WeakMap<ServerResponse, number>();
  #newest: NumberedRequest | undefined;
  #isEndedByHost = false;

  constructor(socket: Socket) {
    const { destroySoon } = socket;
    // Node.js calls this after a response that closes the connection.
    socket.destroySoon = () => {
      this.#isEndedByHost = true;
      destroySoon.call(socket);
    };
  }

  /** Whether the host has closed its side of the connection. */
  get isEndedByHost(): boolean {
    return this.#isEndedByHost;
  }

  /**
   * Adds a request; further calls for the same request have no effect. Returns
   * false if it must not be handled, as it comes behind a response that closes
   * the connection.
   */
  add(res: ServerResponse): boolean {
    const knownNumber = this.#numbers.get(res);
    if (knownNumber !== undefined) return this.#requests.has(knownNumber);
    const number = 1 + (this.#newest?.number ?? 0);
    if (!this.#requests.add(number)) return false;
    this.#numbers.set(res, number);
    this.#newest = { number };
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

  #remove(number: number): void {
    this.#requests.remove(number);
  }
}
