/**
 * A single attempt to have a target run a request, from acquiring a connection
 * to the classified outcome. Retries are decided by the request pipeline.
 *
 * @module
 */
import { classifyResponse } from "../../core/request/outcomes.ts";
import type { AvailabilityStatement } from "../../core/targets/stated_availability.ts";
import type { AttemptOutcome } from "../../core/targets/types.ts";
import { ByteBuffer } from "../byte_buffer.ts";
import { type HeaderNames, RAN_HEADER } from "../header_names.ts";
import type { ConnectionPool } from "./connection_pool.ts";
import {
  findHeader,
  findHeaders,
  readStatedFigures,
} from "./stated_figures.ts";
import type {
  ConnectionListener,
  TargetConnection,
} from "./target_connection.ts";
import type { AttemptResult, ResponseHead } from "./types.ts";

/**
 * Responses up to this size are buffered completely before a byte is passed on,
 * so that a broken one can still be replaced by another target's response.
 */
const MAX_BUFFERED_BYTES = 262_144;
/** Limit of late responses to earlier requests that an attempt skips. */
const MAX_SKIPPED_RESPONSES = 3;
/** Limit of their bodies together. */
const MAX_SKIPPED_BYTES = 1_048_576;

/** A request as it is sent to a target. */
export interface OutgoingRequest {
  readonly method: string;
  /** Request line and headers. */
  readonly head: string;
  /** Request id, which the target echoes in its response. */
  readonly requestId: string;
  /** The body, or the part of it that was received so far. */
  readonly body: Buffer;
  /** The part of a large body after `body`; absent if there is none. */
  readonly remainingBody?: RemainingBody;
  readonly idempotent: boolean;
}

/** The part of a request's body that is still being received. */
export interface RemainingBody {
  /**
   * Starts to pass chunks to `write`, and calls `end` after the last one. A
   * `write` that returns false pauses the body until `resume` is called.
   */
  start(write: (chunk: Buffer) => boolean, end: () => void): void;
  resume(): void;
}

/** Receives the progress and the result of an attempt. */
export interface AttemptListener {
  /** Bytes of the request are being sent. */
  onSent?(): void;
  /** A response states the availability of its target. */
  onStatement(statement: AvailabilityStatement): void;
  /** The response is too large to buffer and is streamed from now on. */
  onStreamStarted(head: ResponseHead): void;
  /** Receives a chunk of it. Returns false to pause until `resumeStream`. */
  onStreamData(chunk: Buffer): boolean;
  /** Called once when the attempt ends; not called after `abort`. */
  onEnded(result: AttemptResult): void;
}

/** Options of an attempt. */
export interface AttemptOptions {
  readonly address: string;
  readonly request: OutgoingRequest;
  readonly listener: AttemptListener;
  readonly pool: ConnectionPool;
  readonly headerNames: HeaderNames;
  /**
   * Whether the attempt is on another host, which answers with a refusal of its
   * own or with the response of a target. Default: false.
   */
  readonly isRelay?: boolean;
  readonly nowMs: () => number;
}

/** An attempt on a target. */
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
  #skippedBytes = 0;
  #head: ResponseHead | undefined;
  /** The body until the response is streamed. */
  readonly #body = new ByteBuffer();
  #receivedBytes = 0;
  #isStreaming = false;

  constructor(options: AttemptOptions) {
    this.#options = options;
  }

  /** Sends the request on an idle connection or opens a new one. */
  start(): void {
    const { address, request, pool, nowMs } = this.#options;
    const { idempotent } = request;
    const idle = pool.takeIdle({ address, idempotent, nowMs: nowMs() });
    if (idle !== undefined) {
      this.#isReused = true;
      return this.#send(idle);
    }
    this.#cancelConnect = pool.open(address, (result) => {
      this.#cancelConnect = undefined;
      if (result instanceof Error) this.#end("unreachable", result.message);
      else this.#send(result);
    });
  }

  /** Whether a byte of the request may have reached the target. */
  get mayHaveReachedTarget(): boolean {
    return this.#isSent;
  }

  /**
   * Cancels the attempt by closing its connection, upon which the target drops
   * the request.
   */
  abort(): void {
    this.#isEnded = true;
    this.#cancelConnect?.();
    this.#connection?.destroy();
  }

  /** Resumes a streamed response when the caller accepts more data. */
  resumeStream(): void {
    this.#connection?.setReading(true);
  }

  #send(connection: TargetConnection): void {
    this.#connection = connection;
    this.#isSent = true;
    const { request, listener } = this.#options;
    listener.onSent?.();
    const { body, remainingBody, method } = request;
    const head = Buffer.from(request.head, "latin1");
    const bytes = body.length === 0 ? head : Buffer.concat([head, body]);
    const canWriteMore = connection.startRequest(
      method,
      bytes,
      this.#createListener(),
    );
    const endBody = () => {
      this.#isBodySent = true;
      connection.endRequest();
    };
    if (remainingBody === undefined) return endBody();
    remainingBody.start((chunk) => connection.write(chunk), endBody);
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
    const { headerNames, request } = this.#options;
    const echoedId = findHeader(head, headerNames.requestId);
    // Without an id, a response on a connection that has carried other requests
    // may be a late one to one of them, such as a refusal that was repeated.
    if (echoedId === undefined && this.#connection?.requestCount !== 1) {
      return this.#endAsBroken("response without an id on a used connection");
    }
    this.#isSkipping = echoedId !== undefined && echoedId !== request.requestId;
    if (!this.#isSkipping) this.#head = head;
    this.#passStatement(head);
  }

  /**
   * Passes on what a response states of the availability of its target, as soon
   * as its head was received, whatever follows. A response with status 421 comes
   * from another target. A late response to an earlier request still tells that
   * the target leaves, but not from when on it wants no requests.
   */
  #passStatement(head: ResponseHead): void {
    const { headerNames, listener } = this.#options;
    if (head.status === 421) return;
    const statement = {
      isLeaving: findHeader(head, headerNames.leaving) === "1",
      refusesForMs: head.status === 503 && !this.#isSkipping
        ? parseRetryAfterMs(findHeaders(head, headerNames.retryAfterS))
        : 0,
    };
    if (statement.isLeaving || statement.refusesForMs > 0) {
      listener.onStatement(statement);
    }
  }

  #handleBody(chunk: Buffer): void {
    if (this.#isEnded) return;
    if (this.#isSkipping) {
      this.#skippedBytes += chunk.length;
      if (this.#skippedBytes > MAX_SKIPPED_BYTES) {
        this.#endAsBroken("too large responses to other requests");
      }
      return;
    }
    this.#receivedBytes += chunk.length;
    if (this.#isStreaming) return this.#forward(chunk);
    this.#body.append(chunk);
    if (this.#receivedBytes <= MAX_BUFFERED_BYTES) return;
    const head = this.#head as ResponseHead;
    if (this.#classify(head) !== "answered") {
      return this.#endAsBroken("unsuccessful response with a large body");
    }
    this.#isStreaming = true;
    this.#options.listener.onStreamStarted(head);
    this.#forward(this.#body.view());
    this.#body.clear();
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
        this.#endAsBroken("too many responses to other requests");
      }
      return;
    }
    const head = this.#head as ResponseHead;
    this.#returnConnection(head);
    const detail = `response framed by ${head.framing}`;
    this.#end(this.#classify(head), detail, head);
  }

  /** Adds the connection to the pool or, with data left on it, closes it. */
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
    // Waits for surplus bytes after the response, which make the connection
    // unusable.
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
    const { headerNames, listener } = this.#options;
    const { load, limitPerS, coldForMs, unread } = readStatedFigures(
      head,
      headerNames,
    );
    listener.onEnded({
      end: {
        outcome,
        status: head?.status ?? 0,
        load,
        limitPerS,
        coldForMs,
        retryAfterMs: head &&
          parseRetryAfterMs(findHeaders(head, headerNames.retryAfterS)),
      },
      mayHaveReachedTarget: this.#isSent,
      response: head === undefined || this.#isStreaming
        ? undefined
        : { head, body: this.#body.view() },
      receivedBytes: this.#receivedBytes,
      unreadFigures: unread,
      detail,
    });
  }

  #classify(head: ResponseHead): AttemptOutcome {
    const { headerNames, isRelay = false } = this.#options;
    const hasSeal = findHeader(head, headerNames.seal) !== undefined;
    const isRefusedByHost = isRelay && !hasSeal && head.status === 503 &&
      findHeader(head, RAN_HEADER) === "no";
    return classifyResponse({
      status: head.status,
      isMarkedNotRun: isRefusedByHost ||
        findHeader(head, headerNames.notRun) !== undefined,
      hasSeal,
    }, headerNames.seal !== "");
  }
}

const RETRY_AFTER = /^\d{1,15}(?:\.\d{1,9})?$/;

/**
 * Parses the values of `retry-after` in seconds. The longest counts; values that
 * are malformed or negative, and dates, are ignored.
 */
function parseRetryAfterMs(values: readonly string[]): number {
  const timesMs = values.filter((value) => RETRY_AFTER.test(value))
    .map((value) => Number(value) * 1_000);
  return Math.max(0, ...timesMs);
}
