/**
 * One attempt to have a target run a request.
 *
 * @module
 */
import { classifyAnswer } from "../../core/request/outcomes.ts";
import type { AttemptOutcome, LoadReport } from "../../core/targets/types.ts";
import type { HeaderNames } from "../header_names.ts";
import type { ConnectionPool } from "./connection_pool.ts";
import type {
  ConnectionListener,
  TargetConnection,
} from "./target_connection.ts";
import type { AttemptResult, ResponseHead } from "./types.ts";

/**
 * Answers up to this size are received whole before a byte is passed on, so
 * that a broken one can still be replaced by another target's answer.
 */
const MAX_BUFFERED_BYTES = 262_144;
/** Late answers of earlier requests that are skipped on a connection. */
const MAX_SKIPPED_RESPONSES = 3;

/** A request as it is sent. */
export interface OutgoingRequest {
  readonly method: string;
  /** Start line and headers. */
  readonly head: string;
  /** Value of the request's identity, which the target echoes. */
  readonly requestId: string;
  /** The body, or the part of it that was received. */
  readonly body: Buffer;
  /** The rest of a large body; absent when `body` is all of it. */
  readonly remainingBody?: RemainingBody;
  readonly idempotent: boolean;
}

/** Parts of a body that are still being received. */
export interface RemainingBody {
  /**
   * Passes on the parts. Each call of `write` tells whether to go on at once;
   * `resume` goes on later.
   */
  start(write: (chunk: Buffer) => boolean, end: () => void): void;
  resume(): void;
}

/** What an attempt tells. */
export interface AttemptListener {
  /** A large answer is passed on in parts from now on. */
  onStreamStarted(head: ResponseHead): void;
  /** A part of it. Returns whether to go on at once. */
  onStreamData(chunk: Buffer): boolean;
  /** The attempt ended by itself; not called after `abort`. */
  onEnded(result: AttemptResult): void;
}

/** What an attempt is built from. */
export interface AttemptOptions {
  readonly address: string;
  readonly request: OutgoingRequest;
  readonly listener: AttemptListener;
  readonly pool: ConnectionPool;
  readonly names: HeaderNames;
  readonly nowMs: () => number;
}

/** A running attempt. */
export class Attempt {
  readonly #options: AttemptOptions;
  #connection: TargetConnection | undefined;
  #cancelConnect: (() => void) | undefined;
  #isReused = false;
  #isSent = false;
  #isBodySent = false;
  #isEnded = false;
  #isSkipping = false;
  #skippedResponses = 0;
  #head: ResponseHead | undefined;
  #chunks: Buffer[] = [];
  #receivedBytes = 0;
  #isStreaming = false;

  constructor(options: AttemptOptions) {
    this.#options = options;
  }

  /** Takes or opens a connection and sends the request. */
  start(): void {
    const { address, request, pool, nowMs } = this.#options;
    const { idempotent } = request;
    const kept = pool.takeIdle({ address, idempotent, nowMs: nowMs() });
    if (kept !== undefined) {
      this.#isReused = true;
      return this.#send(kept);
    }
    this.#cancelConnect = pool.open(address, (result) => {
      this.#cancelConnect = undefined;
      if (result instanceof Error) this.#end("unreachable", result.message);
      else this.#send(result);
    });
  }

  /** Whether a byte of the request may have reached the target. */
  get sent(): boolean {
    return this.#isSent;
  }

  /** Ends the attempt; the target drops a request whose connection closes. */
  abort(): void {
    this.#isEnded = true;
    this.#cancelConnect?.();
    this.#connection?.destroy();
  }

  /** Goes on with a streamed answer after the caller took its parts. */
  resumeStream(): void {
    this.#connection?.setReading(true);
  }

  #send(connection: TargetConnection): void {
    this.#connection = connection;
    this.#isSent = true;
    const { request } = this.#options;
    const { body, remainingBody, method } = request;
    const head = Buffer.from(request.head, "latin1");
    const first = body.length === 0 ? head : Buffer.concat([head, body]);
    const canWriteMore = connection.startRequest(
      method,
      first,
      this.#createListener(),
    );
    if (remainingBody === undefined) {
      this.#isBodySent = true;
      return;
    }
    remainingBody.start(
      (chunk) => connection.write(chunk),
      () => this.#isBodySent = true,
    );
    if (canWriteMore) remainingBody.resume();
  }

  #createListener(): ConnectionListener {
    return {
      onHead: (head) => this.#handleHead(head),
      onBody: (chunk) => this.#handleBody(chunk),
      onEnd: () => this.#handleEnd(),
      onBroken: (reason) => this.#endAsBroken(reason),
      onDrain: () => this.#options.request.remainingBody?.resume(),
    };
  }

  #handleHead(head: ResponseHead): void {
    const { names, request } = this.#options;
    const echoed = findHeader(head, names.requestId);
    this.#isSkipping = echoed !== undefined && echoed !== request.requestId;
    if (!this.#isSkipping) this.#head = head;
  }

  #handleBody(chunk: Buffer): void {
    if (this.#isSkipping || this.#isEnded) return;
    this.#receivedBytes += chunk.length;
    if (this.#isStreaming) return this.#forward(chunk);
    this.#chunks.push(chunk);
    if (this.#receivedBytes <= MAX_BUFFERED_BYTES) return;
    const head = this.#head as ResponseHead;
    if (this.#classify(head) !== "answered") {
      return this.#endAsBroken("a failure with a large body");
    }
    this.#isStreaming = true;
    this.#options.listener.onStreamStarted(head);
    for (const part of this.#chunks.splice(0)) this.#forward(part);
  }

  #forward(chunk: Buffer): void {
    if (this.#isEnded) return;
    if (!this.#options.listener.onStreamData(chunk)) {
      this.#connection?.setReading(false);
    }
  }

  #handleEnd(): void {
    if (this.#isEnded) return;
    if (this.#isSkipping) {
      this.#isSkipping = false;
      this.#skippedResponses += 1;
      if (this.#skippedResponses > MAX_SKIPPED_RESPONSES) {
        this.#endAsBroken("answers of other requests");
      }
      return;
    }
    const head = this.#head as ResponseHead;
    this.#returnConnection(head);
    const detail = `answer framed by ${head.framing}`;
    this.#end(this.#classify(head), detail, head);
  }

  /** Keeps the connection if nothing of this request is left on it. */
  #returnConnection(head: ResponseHead): void {
    const { pool, address, nowMs } = this.#options;
    const connection = this.#connection as TargetConnection;
    this.#connection = undefined;
    connection.finishRequest();
    if (
      head.closesConnection || !this.#isBodySent || this.#skippedResponses > 0
    ) {
      return connection.destroy();
    }
    const { keepAliveMs } = head;
    // Bytes that follow the answer are read first.
    setImmediate(() =>
      pool.addIdle(address, connection, { keepAliveMs, nowMs: nowMs() })
    );
  }

  #endAsBroken(reason: string): void {
    const { pool, address, nowMs } = this.#options;
    if (this.#isReused && this.#head === undefined) {
      pool.recordFailedReuse(address, nowMs());
    }
    this.#connection?.destroy();
    this.#end("broken", reason);
  }

  #end(outcome: AttemptOutcome, detail: string, head?: ResponseHead): void {
    if (this.#isEnded) return;
    this.#isEnded = true;
    const { names, listener } = this.#options;
    const coldForMs = Number(head && findHeader(head, names.coldMs));
    listener.onEnded({
      end: {
        outcome,
        status: head?.status ?? 0,
        load: head && parseLoad(findHeader(head, names.load)),
        coldForMs: coldForMs > 0 ? coldForMs : undefined,
      },
      sent: this.#isSent,
      response: head === undefined || this.#isStreaming
        ? undefined
        : { head, body: Buffer.concat(this.#chunks) },
      detail,
    });
  }

  #classify(head: ResponseHead): AttemptOutcome {
    const { names } = this.#options;
    return classifyAnswer({
      status: head.status,
      notRun: findHeader(head, names.notRun) !== undefined,
      sealed: findHeader(head, names.seal) !== undefined,
    }, names.seal !== "");
  }
}

/** Value of a header, or `undefined`. */
function findHeader(head: ResponseHead, name: string): string | undefined {
  if (name === "") return undefined;
  const { rawHeaders } = head;
  for (let i = 0; i < rawHeaders.length; i += 2) {
    if (rawHeaders[i].toLowerCase() === name) return rawHeaders[i + 1];
  }
  return undefined;
}

const LOAD_REPORT = /^(\d{1,9}),(\d{1,9}),(\d{1,9})$/;

/** Parses a load report; a malformed one is as good as none. */
function parseLoad(value: string | undefined): LoadReport | undefined {
  const match = LOAD_REPORT.exec(value?.replaceAll(" ", "") ?? "");
  if (match === null) return undefined;
  return {
    running: Number(match[1]),
    waiting: Number(match[2]),
    slots: Number(match[3]),
  };
}
