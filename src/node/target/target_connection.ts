/**
 * Connection to a target that carries one request at a time: writes the
 * request to the socket and parses the response from it.
 *
 * @module
 */
import type { Socket } from "node:net";
import { ResponseError, ResponseParser } from "./response_parser.ts";
import type { ResponseHead } from "./types.ts";

/** Receives the response to the request on a connection. */
export interface ConnectionListener {
  onHead(head: ResponseHead): void;
  onBody(chunk: Buffer): void;
  onEnd(): void;
  /** The connection closed or failed, or the response is malformed. */
  onBroken(reason: string): void;
  /** The socket accepts more bytes of the request after backpressure. */
  onDrain(): void;
}

/** An established connection. */
export class TargetConnection {
  readonly #socket: Socket;
  readonly #parser: ResponseParser;
  #listener: ConnectionListener | undefined;
  #isClosed = false;
  /** Number of requests sent on the connection. */
  requestCount = 0;

  /** @param onClosed Called once when the connection is no longer usable. */
  constructor(socket: Socket, onClosed: () => void) {
    this.#socket = socket;
    this.#parser = new ResponseParser({
      onHead: (head) => this.#listener?.onHead(head),
      onBody: (chunk) => this.#listener?.onBody(chunk),
      onEnd: () => this.#listener?.onEnd(),
    });
    const close = (reason: string) => {
      if (this.#isClosed) return;
      this.#isClosed = true;
      this.#closeSocket();
      onClosed();
      this.#detachListener()?.onBroken(reason);
    };
    socket.on("data", (chunk) => {
      if (this.#isClosed) return;
      // Without a request in flight, no request owns the bytes.
      if (this.#listener === undefined) return close("unexpected data");
      try {
        this.#parser.push(chunk);
      } catch (error) {
        if (!(error instanceof ResponseError)) throw error;
        close(error.message);
      }
    });
    socket.on("end", () => {
      if (this.#isClosed) return;
      // Node.js reports a reset that arrives together with data as the end of
      // the stream. Only after a reset does the socket have no remote port.
      if (socket.remotePort === undefined) return close("connection reset");
      try {
        this.#parser.close();
        close("connection closed by the target");
      } catch (error) {
        if (!(error instanceof ResponseError)) throw error;
        close(error.message);
      }
    });
    socket.on("drain", () => this.#listener?.onDrain());
    socket.on("error", (error) => close(error.message));
    socket.on("close", () => close("connection closed"));
  }

  /** Whether the connection is open, with no request or partial response. */
  get isUsable(): boolean {
    return !this.#isClosed && this.#listener === undefined &&
      this.#parser.isBetweenResponses;
  }

  /**
   * Sends the head of a request and its body as far as it was received.
   *
   * @returns Whether more may be written at once; `onDrain` follows otherwise.
   */
  startRequest(
    method: string,
    bytes: Buffer,
    listener: ConnectionListener,
  ): boolean {
    this.#listener = listener;
    this.#parser.method = method;
    this.requestCount += 1;
    return this.#socket.write(bytes);
  }

  /**
   * Writes a part of the request's body.
   *
   * @returns Whether more may be written at once; `onDrain` follows otherwise.
   */
  write(bytes: Buffer): boolean {
    return this.#isClosed || this.#socket.write(bytes);
  }

  /** Pauses or resumes reading, so that backpressure reaches the target. */
  setReading(isReading: boolean): void {
    if (isReading) this.#socket.resume();
    else this.#socket.pause();
  }

  /** Ends the current request after its complete response. */
  finishRequest(): void {
    this.#listener = undefined;
    this.#socket.resume();
  }

  /** Closes the connection without notifying the listener. */
  destroy(): void {
    this.#closeSocket();
    this.#listener = undefined;
  }

  /**
   * Closes the socket, with a reset while a request is in flight. After an
   * orderly close the kernel goes on to send what a partition has held up, and
   * the target would run a request that was given up long before.
   */
  #closeSocket(): void {
    if (this.#listener === undefined) this.#socket.destroy();
    else this.#socket.resetAndDestroy();
  }

  #detachListener(): ConnectionListener | undefined {
    const listener = this.#listener;
    this.#listener = undefined;
    return listener;
  }
}
