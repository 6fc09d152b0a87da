/**
 * One connection to a target. It carries one request at a time.
 *
 * @module
 */
import type { Socket } from "node:net";
import { ResponseError, ResponseParser } from "./response_parser.ts";
import type { ResponseHead } from "./types.ts";

/** What happens to the request on a connection. */
export interface ConnectionListener {
  onHead(head: ResponseHead): void;
  onBody(chunk: Buffer): void;
  onEnd(): void;
  /** The connection ended, or carried what is no answer. */
  onBroken(reason: string): void;
  /** The connection takes more bytes of the request. */
  onDrain(): void;
}

/** A connection that is established. */
export class TargetConnection {
  readonly #socket: Socket;
  readonly #parser: ResponseParser;
  #listener: ConnectionListener | undefined;
  #isClosed = false;
  /** Requests that were sent on it. */
  requestCount = 0;

  /** @param onClosed Called once when the connection can't be used any more. */
  constructor(socket: Socket, onClosed: () => void) {
    this.#socket = socket;
    this.#parser = new ResponseParser({
      onHead: (head) => this.#listener?.onHead(head),
      onBody: (chunk) => this.#listener?.onBody(chunk),
      onEnd: () => this.#listener?.onEnd(),
    });
    const abandon = (reason: string) => {
      if (this.#isClosed) return;
      this.#isClosed = true;
      socket.destroy();
      onClosed();
      this.#detachListener()?.onBroken(reason);
    };
    socket.on("data", (chunk) => {
      if (this.#isClosed) return;
      // Bytes that nobody asked for belong to no request.
      if (this.#listener === undefined) return abandon("unexpected bytes");
      try {
        this.#parser.push(chunk);
      } catch (error) {
        if (!(error instanceof ResponseError)) throw error;
        abandon(error.message);
      }
    });
    socket.on("end", () => {
      if (this.#isClosed) return;
      // A reset that arrives together with data is reported as an end. Only
      // after a reset has the socket no peer any more.
      if (socket.remotePort === undefined) {
        return abandon("reset by the target");
      }
      try {
        this.#parser.close();
        abandon("closed by the target");
      } catch (error) {
        if (!(error instanceof ResponseError)) throw error;
        abandon(error.message);
      }
    });
    socket.on("drain", () => this.#listener?.onDrain());
    socket.on("error", (error) => abandon(error.message));
    socket.on("close", () => abandon("closed"));
  }

  /** Whether the connection can take a request. */
  get isUsable(): boolean {
    return !this.#isClosed && this.#listener === undefined &&
      this.#parser.isBetweenResponses;
  }

  /**
   * Begins a request.
   *
   * @returns Whether more may be written at once.
   */
  startRequest(
    method: string,
    bytes: Buffer,
    user: ConnectionListener,
  ): boolean {
    this.#listener = user;
    this.#parser.method = method;
    this.requestCount += 1;
    return this.#socket.write(bytes);
  }

  /** Writes a part of the request's body. Returns whether to go on at once. */
  write(bytes: Buffer): boolean {
    return this.#isClosed || this.#socket.write(bytes);
  }

  /** Stops or resumes reading, so that a slow caller holds the target back. */
  setReading(reading: boolean): void {
    if (reading) this.#socket.resume();
    else this.#socket.pause();
  }

  /** Ends the present request after its whole answer. */
  finishRequest(): void {
    this.#listener = undefined;
    this.#socket.resume();
  }

  /** Closes the connection without telling the user. */
  destroy(): void {
    this.#listener = undefined;
    this.#socket.destroy();
  }

  #detachListener(): ConnectionListener | undefined {
    const user = this.#listener;
    this.#listener = undefined;
    return user;
  }
}
