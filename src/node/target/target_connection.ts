/**
 * One connection to a target. It carries one request at a time.
 *
 * @module
 */
import type { Socket } from "node:net";
import { ResponseError, ResponseParser } from "./response_parser.ts";
import type { AnswerHead } from "./types.ts";

/** What happens to the request on a connection. */
export interface ConnectionUser {
  onHead(head: AnswerHead): void;
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
  #user: ConnectionUser | undefined;
  #closed = false;
  /** Requests that were sent on it. */
  requests = 0;

  /** @param onClosed Called once when the connection can't be used any more. */
  constructor(socket: Socket, onClosed: () => void) {
    this.#socket = socket;
    this.#parser = new ResponseParser({
      onHead: (head) => this.#user?.onHead(head),
      onBody: (chunk) => this.#user?.onBody(chunk),
      onEnd: () => this.#user?.onEnd(),
    });
    const end = (reason: string) => {
      if (this.#closed) return;
      this.#closed = true;
      socket.destroy();
      onClosed();
      this.#takeUser()?.onBroken(reason);
    };
    socket.on("data", (chunk) => {
      if (this.#closed) return;
      // Bytes that nobody asked for belong to no request.
      if (this.#user === undefined) return end("unexpected bytes");
      try {
        this.#parser.push(chunk);
      } catch (error) {
        if (!(error instanceof ResponseError)) throw error;
        end(error.message);
      }
    });
    socket.on("end", () => {
      if (this.#closed) return;
      // A reset that arrives together with data is reported as an end. Only
      // after a reset has the socket no peer any more.
      if (socket.remotePort === undefined) return end("reset by the target");
      try {
        this.#parser.close();
        end("closed by the target");
      } catch (error) {
        if (!(error instanceof ResponseError)) throw error;
        end(error.message);
      }
    });
    socket.on("drain", () => this.#user?.onDrain());
    socket.on("error", (error) => end(error.message));
    socket.on("close", () => end("closed"));
  }

  /** Whether the connection can take a request. */
  get isUsable(): boolean {
    return !this.#closed && this.#user === undefined &&
      this.#parser.isBetweenAnswers;
  }

  /**
   * Begins a request.
   *
   * @returns Whether more may be written at once.
   */
  begin(method: string, bytes: Buffer, user: ConnectionUser): boolean {
    this.#user = user;
    this.#parser.method = method;
    this.requests += 1;
    return this.#socket.write(bytes);
  }

  /** Writes a part of the request's body. Returns whether to go on at once. */
  write(bytes: Buffer): boolean {
    return this.#closed || this.#socket.write(bytes);
  }

  /** Stops or resumes reading, so that a slow caller holds the target back. */
  setReading(reading: boolean): void {
    if (reading) this.#socket.resume();
    else this.#socket.pause();
  }

  /** Ends the present request after its whole answer. */
  finish(): void {
    this.#user = undefined;
    this.#socket.resume();
  }

  /** Closes the connection without telling the user. */
  destroy(): void {
    this.#user = undefined;
    this.#socket.destroy();
  }

  #takeUser(): ConnectionUser | undefined {
    const user = this.#user;
    this.#user = undefined;
    return user;
  }
}
