/**
 * Body of a caller's request. It is buffered up to a size limit, so that it can
 * be sent again, and streamed beyond it.
 *
 * @module
 */
import { createHash } from "node:crypto";
import type { IncomingMessage } from "node:http";
import type { ByteBudget } from "../../core/limits/byte_budget.ts";
import { ByteBuffer } from "../byte_buffer.ts";
import type { RemainingBody } from "../target/attempt.ts";
import type { BodyFraming } from "./headers.ts";

/** Bodies up to this size are buffered, so that they can be sent again. */
const MAX_BUFFERED_BYTES = 1_048_576;
/**
 * Buffered bytes of all bodies together. A buffer may be twice as large as its
 * bytes, and they are copied once more when the request is sent, so a host uses
 * up to 100 MB for them.
 */
export const MAX_ALL_BUFFERED_BYTES = 33_554_432;
/**
 * Bytes of each body that do not count, so that unfinished large bodies do not
 * keep out small ones. With 4,000 connections these are 16 MB.
 */
const UNCOUNTED_BYTES = 4_096;

/**
 * Bytes beyond the limit of the document that are read and discarded, so that a
 * caller that is still sending can read the refusal.
 */
const MAX_DISCARDED_BYTES = 1_048_576;
/** Receives the progress of a body. */
export interface BodyListener {
  /** The body is complete, or its buffered part has reached the limit. */
  onReady(): void;
  /** The body exceeds the limit of the document. */
  onTooLarge(): void;
  /** The bodies of all requests reach the limit of their memory. */
  onMemoryFull(): void;
  /** The rest of a refused body is not read, so the connection has to close. */
  onReadingEnded(): void;
}

/** Options of a `RequestBody`. */
export interface RequestBodyOptions extends BodyListener {
  /** Limit of the document. */
  readonly maxBytes: number;
  /** Memory that all bodies share. */
  readonly memory: ByteBudget;
}

/** The body of a request while it is being received. */
export class RequestBody {
  readonly #req: IncomingMessage;
  readonly #listener: BodyListener;
  readonly #maxBytes: number;
  readonly #memory: ByteBudget;
  #heldBytes = 0;
  readonly #buffer = new ByteBuffer();
  #receivedBytes = 0;
  #isComplete = false;
  #isReady = false;
  #isStreamed = false;
  #isDisposed = false;
  #writeChunk: ((chunk: Buffer) => boolean) | undefined;
  #endBody = () => {};

  constructor(
    req: IncomingMessage,
    { maxBytes, memory, ...listener }: RequestBodyOptions,
  ) {
    this.#req = req;
    this.#listener = listener;
    this.#maxBytes = maxBytes;
    this.#memory = memory;
    if (!hasBody(req)) {
      this.#isComplete = true;
      return;
    }
    req.on("data", (chunk: Buffer) => this.#receive(chunk));
    req.on("end", () => this.#handleEnd());
  }

  /** Whether the body is complete and empty, as for a request without one. */
  get isEmpty(): boolean {
    return this.#isComplete && this.#receivedBytes === 0;
  }

  /** Number of bytes received so far. */
  get receivedBytes(): number {
    return this.#receivedBytes;
  }

  /** Whether the complete body is buffered and can be sent again. */
  get canResend(): boolean {
    return !this.#isStreamed;
  }

  /**
   * Hashes method, path and the body or, over the buffer limit, its length and
   * its start, which don't depend on how much has arrived. To be called before
   * `startSending`, which releases the buffer of such a body.
   */
  hashContent(method: string, path: string): string {
    const start = this.#buffer.view().subarray(0, MAX_BUFFERED_BYTES);
    const isWhole = start.length === this.#receivedBytes;
    const length = isWhole
      ? ""
      : ` ${this.#req.headers["content-length"] ?? "chunked"}`;
    return createHash("sha1").update(`${method} ${path}${length}\n`)
      .update(start).digest("base64url");
  }

  /**
   * Prepares the body for a target.
   *
   * @returns The buffered body, its framing and, for a body that exceeds the
   *   buffer limit, the part that is still to be received. Such a body can be
   *   sent only once.
   */
  startSending(): {
    body: Buffer;
    remainingBody?: RemainingBody;
    framing: BodyFraming;
  } {
    const buffered = this.#buffer.view();
    if (this.#isComplete && !this.#isStreamed) {
      return {
        body: buffered,
        framing: hasBody(this.#req)
          ? { type: "sized", bytes: buffered.length }
          : { type: "none" },
      };
    }
    this.#isStreamed = true;
    this.#releaseBuffer();
    const length = this.#req.headers["content-length"];
    return length === undefined
      ? {
        body: formatChunk(buffered),
        remainingBody: this.#createRemainingBody(formatChunk, LAST_CHUNK),
        framing: { type: "chunked" },
      }
      : {
        body: buffered,
        remainingBody: this.#createRemainingBody((chunk) => chunk),
        framing: { type: "sized", bytes: Number(length) },
      };
  }

  /** Discards the body, including the part still to be received. */
  dispose(): void {
    this.#isDisposed = true;
    this.#writeChunk = undefined;
    this.#releaseBuffer();
    this.#isReady = true;
    this.#isStreamed = true;
    this.#req.resume();
  }

  #createRemainingBody(
    format: (chunk: Buffer) => Buffer,
    lastChunk?: Buffer,
  ): RemainingBody {
    return {
      start: (write, end) => {
        this.#writeChunk = (chunk) => write(format(chunk));
        this.#endBody = () => {
          if (lastChunk !== undefined) write(lastChunk);
          end();
        };
        if (this.#isComplete) this.#endBody();
      },
      resume: () => this.#req.resume(),
    };
  }

  #receive(chunk: Buffer): void {
    this.#receivedBytes += chunk.length;
    if (this.#receivedBytes > this.#maxBytes) {
      if (this.#receivedBytes > this.#maxBytes + MAX_DISCARDED_BYTES) {
        this.#req.pause();
        return this.#listener.onReadingEnded();
      }
      if (this.#isDisposed) return;
      this.#listener.onTooLarge();
      return this.dispose();
    }
    if (this.#isStreamed) {
      if (this.#writeChunk?.(chunk) === false) this.#req.pause();
      return;
    }
    if (!this.#takeMemory()) {
      this.#listener.onMemoryFull();
      return this.dispose();
    }
    this.#buffer.append(chunk);
    if (this.#receivedBytes <= MAX_BUFFERED_BYTES || this.#isReady) return;
    this.#req.pause();
    this.#isReady = true;
    this.#listener.onReady();
  }

  /** Takes the memory for the bytes received so far. */
  #takeMemory(): boolean {
    const bytes = this.#receivedBytes - UNCOUNTED_BYTES - this.#heldBytes;
    if (bytes <= 0) return true;
    if (!this.#memory.take(bytes)) return false;
    this.#heldBytes += bytes;
    return true;
  }

  #releaseBuffer(): void {
    this.#buffer.clear();
    this.#memory.release(this.#heldBytes);
    this.#heldBytes = 0;
  }

  #handleEnd(): void {
    this.#isComplete = true;
    if (this.#isStreamed) return this.#endBody();
    if (this.#isReady) return;
    this.#isReady = true;
    this.#listener.onReady();
  }
}

const LAST_CHUNK = Buffer.from("0\r\n\r\n");
const CRLF = Buffer.from("\r\n");

function formatChunk(chunk: Buffer): Buffer {
  if (chunk.length === 0) return chunk;
  const length = Buffer.from(`${chunk.length.toString(16)}\r\n`);
  return Buffer.concat([length, chunk, CRLF]);
}

/** Whether a request has a body, as its headers tell. */
export function hasBody(req: IncomingMessage): boolean {
  const { headers } = req;
  return headers["transfer-encoding"] !== undefined ||
    Number(headers["content-length"] ?? 0) > 0;
}
