/**
 * Body of a caller's request: received whole up to a size, passed on in parts
 * beyond it.
 *
 * @module
 */
import { createHash } from "node:crypto";
import type { IncomingMessage } from "node:http";
import type { RemainingBody } from "../target/attempt.ts";
import type { BodyFraming } from "./headers.ts";

/** Bodies up to this size are kept, so that they can be sent once more. */
const MAX_BUFFERED_BYTES = 1_048_576;

/** What is told about a body. */
export interface BodyListener {
  /** The whole body, or its first part, was received. */
  onReady(): void;
  onTooLarge(): void;
}

/** A body that is being received. */
export class RequestBody {
  readonly #req: IncomingMessage;
  readonly #listener: BodyListener;
  readonly #maxBytes: number;
  #chunks: Buffer[] = [];
  #receivedBytes = 0;
  #isComplete = false;
  #isReady = false;
  #isStreamed = false;
  #writeChunk: ((chunk: Buffer) => boolean) | undefined;
  #endBody = () => {};

  constructor(
    req: IncomingMessage,
    { maxBytes, ...listener }: BodyListener & { maxBytes: number },
  ) {
    this.#req = req;
    this.#listener = listener;
    this.#maxBytes = maxBytes;
    if (!hasBody(req)) {
      this.#isComplete = true;
      return;
    }
    req.on("data", (chunk: Buffer) => this.#receive(chunk));
    req.on("end", () => this.#handleEnd());
  }

  /** Whether the request has no body, so that nothing has to be waited for. */
  get isEmpty(): boolean {
    return this.#isComplete && this.#receivedBytes === 0;
  }

  /** Bytes that were received so far. */
  get receivedBytes(): number {
    return this.#receivedBytes;
  }

  /** Whether the whole body can be sent once more. */
  get canResend(): boolean {
    return !this.#isStreamed;
  }

  /** Hash of what was received when the body became ready. */
  hashContent(method: string, path: string): string {
    const hash = createHash("sha1").update(`${method} ${path}\n`);
    for (const chunk of this.#chunks) hash.update(chunk);
    return hash.digest("base64url");
  }

  /** What is sent to a target: the body and, for a large one, its rest. */
  startSending(): {
    body: Buffer;
    remainingBody?: RemainingBody;
    framing: BodyFraming;
  } {
    const received = Buffer.concat(this.#chunks);
    if (this.#isComplete && !this.#isStreamed) {
      return {
        body: received,
        framing: hasBody(this.#req)
          ? { type: "sized", bytes: received.length }
          : { type: "none" },
      };
    }
    this.#isStreamed = true;
    this.#chunks = [];
    const length = this.#req.headers["content-length"];
    return length === undefined
      ? {
        body: formatChunk(received),
        remainingBody: this.#createRemainingBody(formatChunk, LAST_CHUNK),
        framing: { type: "chunked" },
      }
      : {
        body: received,
        remainingBody: this.#createRemainingBody((chunk) => chunk),
        framing: { type: "sized", bytes: Number(length) },
      };
  }

  /** Drops what is still to come. */
  dispose(): void {
    this.#writeChunk = undefined;
    this.#chunks = [];
    this.#isReady = true;
    this.#isStreamed = true;
    this.#req.resume();
  }

  #createRemainingBody(
    format: (chunk: Buffer) => Buffer,
    last?: Buffer,
  ): RemainingBody {
    return {
      start: (write, end) => {
        this.#writeChunk = (chunk) => write(format(chunk));
        this.#endBody = () => {
          if (last !== undefined) write(last);
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
      this.#listener.onTooLarge();
      return this.dispose();
    }
    if (this.#isStreamed) {
      if (this.#writeChunk?.(chunk) === false) this.#req.pause();
      return;
    }
    this.#chunks.push(chunk);
    if (this.#receivedBytes <= MAX_BUFFERED_BYTES || this.#isReady) return;
    this.#req.pause();
    this.#isReady = true;
    this.#listener.onReady();
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

function hasBody(req: IncomingMessage): boolean {
  const { headers } = req;
  return headers["transfer-encoding"] !== undefined ||
    Number(headers["content-length"] ?? 0) > 0;
}
