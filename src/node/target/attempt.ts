/**
 * One attempt to have a target run a request.
 *
 * @module
 */
import { classifyResponse } from "../../core/request/outcomes.ts";
import type { AttemptOutcome, LoadReport } from "../../core/targets/types.ts";
import type { WireNames } from "../wire_names.ts";
import type { ConnectionPool } from "./connection_pool.ts";
import type { ConnectionUser, TargetConnection } from "./target_connection.ts";
import type { AnswerHead, AttemptResult } from "./types.ts";

/**
 * Answers up to this size are received whole before a byte is passed on, so
 * that a broken one can still be replaced by another target's answer.
 */
const MAX_WHOLE_BYTES = 262_144;
/** Late answers of earlier requests that are skipped on a connection. */
const MAX_SKIPPED_ANSWERS = 3;

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
  readonly rest?: BodyRest;
  readonly idempotent: boolean;
}

/** Parts of a body that are still being received. */
export interface BodyRest {
  /**
   * Passes on the parts. Each call of `write` tells whether to go on at once;
   * `resume` goes on later.
   */
  start(write: (chunk: Buffer) => boolean, end: () => void): void;
  resume(): void;
}

/** What an attempt tells. */
export interface AttemptEvents {
  /** A large answer is passed on in parts from now on. */
  onStreamStarted(head: AnswerHead): void;
  /** A part of it. Returns whether to go on at once. */
  onStreamData(chunk: Buffer): boolean;
  /** The attempt ended by itself; not called after `abort`. */
  onEnded(result: AttemptResult): void;
}

/** What an attempt is built from. */
export interface AttemptOptions {
  readonly address: string;
  readonly request: OutgoingRequest;
  readonly events: AttemptEvents;
  readonly pool: ConnectionPool;
  readonly names: WireNames;
  readonly nowMs: () => number;
}

/** A running attempt. */
export class Attempt {
  readonly #options: AttemptOptions;
  #connection: TargetConnection | undefined;
  #giveUp: (() => void) | undefined;
  #reused = false;
  #sent = false;
  #bodySent = false;
  #over = false;
  #skipping = false;
  #skipped = 0;
  #head: AnswerHead | undefined;
  #chunks: Buffer[] = [];
  #bytes = 0;
  #streaming = false;

  constructor(options: AttemptOptions) {
    this.#options = options;
  }

  /** Takes or opens a connection and sends the request. */
  start(): void {
    const { address, request, pool, nowMs } = this.#options;
    const { idempotent } = request;
    const kept = pool.take({ address, idempotent, nowMs: nowMs() });
    if (kept !== undefined) {
      this.#reused = true;
      return this.#send(kept);
    }
    this.#giveUp = pool.open(address, (result) => {
      this.#giveUp = undefined;
      if (result instanceof Error) this.#end("unreachable", result.message);
      else this.#send(result);
    });
  }

  /** Whether a byte of the request may have reached the target. */
  get sent(): boolean {
    return this.#sent;
  }

  /** Ends the attempt; the target drops a request whose connection closes. */
  abort(): void {
    this.#over = true;
    this.#giveUp?.();
    this.#connection?.destroy();
  }

  /** Goes on with a streamed answer after the caller took its parts. */
  resumeStream(): void {
    this.#connection?.setReading(true);
  }

  #send(connection: TargetConnection): void {
    this.#connection = connection;
    this.#sent = true;
    const { request } = this.#options;
    const { body, rest, method } = request;
    const head = Buffer.from(request.head, "latin1");
    const first = body.length === 0 ? head : Buffer.concat([head, body]);
    const goOn = connection.begin(method, first, this.#user());
    if (rest === undefined) {
      this.#bodySent = true;
      return;
    }
    rest.start(
      (chunk) => connection.write(chunk),
      () => this.#bodySent = true,
    );
    if (goOn) rest.resume();
  }

  #user(): ConnectionUser {
    return {
      onHead: (head) => this.#takeHead(head),
      onBody: (chunk) => this.#takeBody(chunk),
      onEnd: () => this.#takeEnd(),
      onBroken: (reason) => this.#endBroken(reason),
      onDrain: () => this.#options.request.rest?.resume(),
    };
  }

  #takeHead(head: AnswerHead): void {
    const { names, request } = this.#options;
    const echoed = headerOf(head, names.requestId);
    this.#skipping = echoed !== undefined && echoed !== request.requestId;
    if (!this.#skipping) this.#head = head;
  }

  #takeBody(chunk: Buffer): void {
    if (this.#skipping || this.#over) return;
    this.#bytes += chunk.length;
    if (this.#streaming) return this.#passOn(chunk);
    this.#chunks.push(chunk);
    if (this.#bytes <= MAX_WHOLE_BYTES) return;
    const head = this.#head as AnswerHead;
    if (this.#outcomeOf(head) !== "answered") {
      return this.#endBroken("a failure with a large body");
    }
    this.#streaming = true;
    this.#options.events.onStreamStarted(head);
    for (const part of this.#chunks.splice(0)) this.#passOn(part);
  }

  #passOn(chunk: Buffer): void {
    if (this.#over) return;
    if (!this.#options.events.onStreamData(chunk)) {
      this.#connection?.setReading(false);
    }
  }

  #takeEnd(): void {
    if (this.#over) return;
    if (this.#skipping) {
      this.#skipping = false;
      this.#skipped += 1;
      if (this.#skipped > MAX_SKIPPED_ANSWERS) {
        this.#endBroken("answers of other requests");
      }
      return;
    }
    const head = this.#head as AnswerHead;
    this.#leaveConnection(head);
    const detail = `answer framed by ${head.framing}`;
    this.#end(this.#outcomeOf(head), detail, head);
  }

  /** Keeps the connection if nothing of this request is left on it. */
  #leaveConnection(head: AnswerHead): void {
    const { pool, address, nowMs } = this.#options;
    const connection = this.#connection as TargetConnection;
    this.#connection = undefined;
    connection.finish();
    if (head.closes || !this.#bodySent || this.#skipped > 0) {
      return connection.destroy();
    }
    const { keepAliveMs } = head;
    // Bytes that follow the answer are read first.
    setImmediate(() =>
      pool.giveBack(address, connection, { keepAliveMs, nowMs: nowMs() })
    );
  }

  #endBroken(reason: string): void {
    const { pool, address, nowMs } = this.#options;
    if (this.#reused && this.#head === undefined) {
      pool.noteLostReuse(address, nowMs());
    }
    this.#connection?.destroy();
    this.#end("broken", reason);
  }

  #end(outcome: AttemptOutcome, detail: string, head?: AnswerHead): void {
    if (this.#over) return;
    this.#over = true;
    const { names, events } = this.#options;
    const coldForMs = Number(head && headerOf(head, names.coldMs));
    events.onEnded({
      end: {
        outcome,
        status: head?.status ?? 0,
        load: head && parseLoad(headerOf(head, names.load)),
        coldForMs: coldForMs > 0 ? coldForMs : undefined,
      },
      sent: this.#sent,
      answer: head === undefined || this.#streaming
        ? undefined
        : { head, body: Buffer.concat(this.#chunks) },
      detail,
    });
  }

  #outcomeOf(head: AnswerHead): AttemptOutcome {
    const { names } = this.#options;
    return classifyResponse({
      status: head.status,
      isMarkedNotRun: headerOf(head, names.notRun) !== undefined,
      hasSeal: headerOf(head, names.seal) !== undefined,
    }, names.seal !== "");
  }
}

/** Value of a header, or `undefined`. */
function headerOf(head: AnswerHead, name: string): string | undefined {
  if (name === "") return undefined;
  const { rawHeaders } = head;
  for (let i = 0; i < rawHeaders.length; i += 2) {
    if (rawHeaders[i].toLowerCase() === name) return rawHeaders[i + 1];
  }
  return undefined;
}

const LOAD = /^(\d{1,9}),(\d{1,9}),(\d{1,9})$/;

/** Parses a load report; a malformed one is as good as none. */
function parseLoad(value: string | undefined): LoadReport | undefined {
  const match = LOAD.exec(value?.replaceAll(" ", "") ?? "");
  if (match === null) return undefined;
  return {
    running: Number(match[1]),
    waiting: Number(match[2]),
    slots: Number(match[3]),
  };
}
