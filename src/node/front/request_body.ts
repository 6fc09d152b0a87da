/**
 * Body of a caller's request: received whole up to a size, passed on in parts
 * beyond it.
 *
 * @module
 */
import { createHash } from "node:crypto";
import type { IncomingMessage } from "node:http";
import type { BodyRest } from "../target/attempt.ts";
import type { BodyFraming } from "./headers.ts";

/** Bodies up to this size are kept, so that they can be sent once more. */
const MAX_KEPT_BYTES = 1_048_576;

/** What is told about a body. */
export interface BodyEvents {
  /** The whole body, or its first part, was received. */
  onReady(): void;
  onTooLarge(): void;
}

/** A body that is being received. */
export class RequestBody {
  readonly #req: IncomingMessage;
  readonly #events: BodyEvents;
  readonly #maxBytes: number;
  #chunks: Buffer[] = [];
  #bytes = 0;
  #complete = false;
  #ready = false;
  #streamed = false;
  #write: ((chunk: Buffer) => boolean) | undefined;
  #end = () => {};

  constructor(
    req: IncomingMessage,
    { maxBytes, ...events }: BodyEvents & { maxBytes: number },
  ) {
    this.#req = req;
    this.#events = events;
    this.#maxBytes = maxBytes;
    if (!hasBody(req)) {
      this.#complete = true;
      return;
    }
    req.on("data", (chunk: Buffer) => this.#take(chunk));
    req.on("end", () => this.#finish());
  }

  /** Whether the request has no body, so that nothing has to be waited for. */
  get isEmpty(): boolean {
    return this.#complete && this.#bytes === 0;
  }

  /** Bytes that were received so far. */
  get bytes(): number {
    return this.#bytes;
  }

  /** Whether the whole body can be sent once more. */
  get canResend(): boolean {
    return !this.#streamed;
  }

  /** Hash of what was received when the body became ready. */
  contentHash(method: string, path: string): string {
    const hash = createHash("sha1").update(`${method} ${path}\n`);
    for (const chunk of this.#chunks) hash.update(chunk);
    return hash.digest("base64url");
  }

  /** What is sent to a target: the body and, for a large one, its rest. */
  open(): { body: Buffer; rest?: BodyRest; framing: BodyFraming } {
    const received = Buffer.concat(this.#chunks);
    if (this.#complete && !this.#streamed) {
      return {
        body: received,
        framing: hasBody(this.#req)
          ? { type: "sized", bytes: received.length }
          : { type: "none" },
      };
    }
    this.#streamed = true;
    this.#chunks = [];
    const length = this.#req.headers["content-length"];
    return length === undefined
      ? {
        body: formatChunk(received),
        rest: this.#rest(formatChunk, LAST_CHUNK),
        framing: { type: "chunked" },
      }
      : {
        body: received,
        rest: this.#rest((chunk) => chunk),
        framing: { type: "sized", bytes: Number(length) },
      };
  }

  /** Drops what is still to come. */
  dispose(): void {
    this.#write = undefined;
    this.#chunks = [];
    this.#ready = true;
    this.#streamed = true;
    this.#req.resume();
  }

  #rest(format: (chunk: Buffer) => Buffer, last?: Buffer): BodyRest {
    return {
      start: (write, end) => {
        this.#write = (chunk) => write(format(chunk));
        this.#end = () => {
          if (last !== undefined) write(last);
          end();
        };
        if (this.#complete) this.#end();
      },
      resume: () => this.#req.resume(),
    };
  }

  #take(chunk: Buffer): void {
    this.#bytes += chunk.length;
    if (this.#bytes > this.#maxBytes) {
      this.#events.onTooLarge();
      return this.dispose();
    }
    if (this.#streamed) {
      if (this.#write?.(chunk) === false) this.#req.pause();
      return;
    }
    this.#chunks.push(chunk);
    if (this.#bytes <= MAX_KEPT_BYTES || this.#ready) return;
    this.#req.pause();
    this.#ready = true;
    this.#events.onReady();
  }

  #finish(): void {
    this.#complete = true;
    if (this.#streamed) return this.#end();
    if (this.#ready) return;
    this.#ready = true;
    this.#events.onReady();
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
