/**
 * Connection to a target that carries one request at a time: writes the
 * request to the socket and parses the response from it.
 *
 * A response without length ends with its connection. It is complete when the
 * target ended the connection in order, the request was written in full, and no
 * reset followed within two round trips. A target that breaks off after it has read
 * all bytes that arrived so far ends the connection in order as well, and only
 * the rest of the request brings the reset. A target that ends its side and reads
 * the rest of the request is not reset. While a caller pauses its upload, the
 * response stays open until the rest of the upload or the deadline.
 *
 * @module
 */
import type { Socket } from "node:net";
import { ResponseError } from "./framing_headers.ts";
import { ResponseParser } from "./response_parser.ts";
import type { ResponseHead } from "./types.ts";

/**
 * Bytes of a request that arrive together with its head: the initial congestion
 * window of ten segments (RFC 6928). A target that closes before it has read them
 * all resets the connection at once.
 */
const FIRST_FLIGHT_BYTES = 14_600;
const NO_BYTES = Buffer.alloc(0);
/** Wait for a reset, besides two round trips. Scheduling may delay one. */
const MIN_RESET_WAIT_MS = 20;
/** Longest wait, as the time to connect may have been long for other reasons. */
const MAX_RESET_WAIT_MS = 300;

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
  /** Time in which a reset by the target arrives after it was caused. */
  readonly resetWaitMs: number;
  /** Whether the target has sent a byte on the connection. */
  hasReceived = false;
  #isClosed = false;
  #requestBytes = 0;
  #isRequestEnded = false;
  #resetTimer: NodeJS.Timeout | undefined;
  /** Number of requests sent on the connection. */
  requestCount = 0;

  /**
   * @param socket An established connection that allows half-open use.
   * @param options `onClosed` is called once when the connection is no longer
   *   usable; `connectMs` is the time that it took to establish it.
   */
  constructor(
    socket: Socket,
    { onClosed, connectMs }: { onClosed: () => void; connectMs: number },
  ) {
    this.#socket = socket;
    this.resetWaitMs = Math.min(
      MIN_RESET_WAIT_MS + 2 * connectMs,
      MAX_RESET_WAIT_MS,
    );
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
      this.hasReceived = true;
      // Without a request in flight, no request owns the bytes.
      if (this.#listener === undefined) return close("unexpected data");
      try {
        this.#parser.push(chunk);
      } catch (error) {
        if (!(error instanceof ResponseError)) throw error;
        close(error.message);
      }
    });
    const completeAtEnd = () => {
      if (this.#isClosed) return;
      try {
        this.#parser.close();
        close("connection closed by the target");
      } catch (error) {
        if (!(error instanceof ResponseError)) throw error;
        close(error.message);
      }
    };
    socket.on("end", () => {
      if (this.#isClosed) return;
      // Node.js reports a reset that arrives together with data as the end of
      // the stream. Only after a reset does the socket have no remote port.
      if (socket.remotePort === undefined) return close("connection reset");
      const mayBeReset = this.#parser.isUntilClose &&
        (this.#requestBytes > FIRST_FLIGHT_BYTES || !this.#isRequestWritten);
      if (mayBeReset) this.#waitForReset(completeAtEnd);
      else completeAtEnd();
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
    this.#requestBytes = bytes.length;
    this.#isRequestEnded = false;
    return this.#socket.write(bytes);
  }

  /**
   * Writes a part of the request's body.
   *
   * @returns Whether more may be written at once; `onDrain` follows otherwise.
   */
  write(bytes: Buffer): boolean {
    this.#requestBytes += bytes.length;
    return this.#isClosed || this.#socket.write(bytes);
  }

  /** Records that all bytes of the request were passed to the connection. */
  endRequest(): void {
    this.#isRequestEnded = true;
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

  get #isRequestWritten(): boolean {
    return this.#isRequestEnded && this.#socket.writableLength === 0;
  }

  /**
   * Calls `onEnd` when the request is written and a reset that it may bring has
   * had time to arrive. An empty write reports a reset as an error, also while
   * the rest of the request is still to come; the remote port does not show it,
   * as Node.js keeps the one that it has read before.
   */
  #waitForReset(onEnd: () => void): void {
    const isWritten = this.#isRequestWritten;
    this.#resetTimer = setTimeout(() => {
      this.#socket.write(NO_BYTES, (error) => {
        if (error || this.#isClosed) return;
        if (isWritten) onEnd();
        else this.#waitForReset(onEnd);
      });
    }, this.resetWaitMs);
  }

  /**
   * Closes the socket, with a reset while a request is in flight. After an
   * orderly close the kernel goes on to send what a partition has held up, and
   * the target would run a request that was given up long before.
   */
  #closeSocket(): void {
    clearTimeout(this.#resetTimer);
    if (this.#listener === undefined) this.#socket.destroy();
    else this.#socket.resetAndDestroy();
  }

  #detachListener(): ConnectionListener | undefined {
    const listener = this.#listener;
    this.#listener = undefined;
    return listener;
  }
}
