/**
 * Shell of the request pipeline: turns callers' requests, results of attempts
 * and timer ticks into events of the request reducer, and applies its effects.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { PipelineDependencies } from "../../core/request/dependencies.ts";
import {
  createPipelineState,
  reduceRequest,
} from "../../core/request/pipeline.ts";
import type {
  IncomingRequest,
  RequestEffect,
  RequestEvent,
} from "../../core/request/types.ts";
import { createRefusal, type Refusal } from "../../core/errors.ts";
import { ByteBudget } from "../../core/limits/byte_budget.ts";
import type { Target } from "../../core/targets/types.ts";
import { getCallerConnection } from "../front/caller_connection.ts";
import { countHeaderBytes } from "../front/headers.ts";
import { MAX_ALL_BUFFERED_BYTES, RequestBody } from "../front/request_body.ts";
import {
  findHeader,
  hashApiKey,
  readRequestHead,
} from "../front/request_head.ts";
import {
  breakOffResponse,
  writeBufferedResponse,
  writeRefusal,
} from "../front/response_writer.ts";
import type { HeaderNames } from "../header_names.ts";
import type { ConnectionPool } from "../target/connection_pool.ts";
import { logUnexpectedError } from "../telemetry/guard.ts";
import type { Log } from "../telemetry/log.ts";
import type { Metrics } from "../telemetry/metrics.ts";
import type { Tracing } from "../telemetry/tracing.ts";
import { AttemptStarter } from "./attempt_starter.ts";
import { recordHold, recordHoldEnd } from "./hold_records.ts";
import type { HttpExchange } from "./http_exchange.ts";

/** Time between two `tick` events, at which deadlines are checked. */
const TICK_INTERVAL_MS = 50;

type RefuseEffect = Extract<RequestEffect, { type: "refuse" }>;

/** Options of a `RequestHandler`. */
export interface RequestHandlerOptions {
  readonly dependencies: PipelineDependencies;
  /** Connections to targets. */
  readonly pool: ConnectionPool;
  /** Connections to other hosts. */
  readonly relayPool: ConnectionPool;
  /** As in `AttemptStarterOptions`. */
  readonly onSentToTarget?: (requestId: number) => void;
  /** Starts a check whether a target accepts connections. */
  readonly checkTarget: (target: Target) => void;
  readonly headerNames: HeaderNames;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly tracing: Tracing;
  readonly nowMs: () => number;
  /** Creates an id for a request without one, unique over hosts and starts. */
  readonly createRequestId: () => string;
  /** Whether to ask callers to close their connections. */
  readonly closesConnections: () => boolean;
  /** Reports a request that crashed a target to the other hosts. */
  readonly publishCrashReport: (crashReport: {
    readonly fingerprint: string;
    /** Id of the target; absent if the report blocks the fingerprint. */
    readonly targetId?: string;
  }) => void;
}

/** Handles the requests of callers and tracks those in progress. */
export class RequestHandler {
  readonly #options: RequestHandlerOptions;
  readonly #attempts: AttemptStarter;
  readonly #state = createPipelineState();
  readonly #bodyMemory = new ByteBudget(MAX_ALL_BUFFERED_BYTES);
  readonly #exchanges = new Map<number, HttpExchange>();
  #nextId = 1;
  #tickTimer: NodeJS.Timeout | undefined;
  #idleCallbacks: (() => void)[] = [];

  constructor(options: RequestHandlerOptions) {
    this.#options = options;
    this.#attempts = new AttemptStarter({
      ...options,
      closesConnection: (exchange, closeOptions) =>
        this.#closesConnection(exchange, closeOptions),
      dispatch: (event) => this.dispatch(event),
      failRequest: (requestId, work, error) => {
        logUnexpectedError(options.log, work, error);
        this.#fail(requestId);
      },
    });
  }

  /** Number of requests whose response is not complete. */
  get requestsInProgress(): number {
    return this.#exchanges.size;
  }

  /** Number of held requests by service. */
  get queueLengths(): ReadonlyMap<string, number> {
    return this.#state.queue.lengths();
  }

  /** Whether requests with a fingerprint are suspected of crashing targets. */
  isSuspected(fingerprint: string): boolean {
    return this.#state.crashAttribution.suspicionScore(fingerprint) > 0;
  }

  /** Resolves when no request is in progress. */
  whenIdle(): Promise<void> {
    if (this.#exchanges.size === 0) return Promise.resolve();
    return new Promise((resolve) => this.#idleCallbacks.push(resolve));
  }

  /**
   * Logs and counts the requests in progress that end with the process, and
   * breaks off the responses that have begun.
   */
  breakOffUnanswered(): void {
    for (const exchange of [...this.#exchanges.values()]) {
      this.#reportUnanswered(exchange, "exit");
      const { res } = exchange;
      if (res.headersSent && !res.writableEnded) breakOffResponse(res);
    }
  }

  /**
   * Handles a request.
   *
   * @param options `relayedAttempts` is the number of attempts that the host
   * that relays the request allows; absent if a caller sent it.
   */
  handle(
    req: IncomingMessage,
    res: ServerResponse,
    { relayedAttempts }: { relayedAttempts?: number } = {},
  ): void {
    const { headerNames, nowMs, dependencies } = this.#options;
    const id = this.#nextId++;
    const { requestId, malformation, ...head } = readRequestHead(
      req,
      headerNames,
    );
    const exchange: HttpExchange = {
      id,
      callerRequestId: requestId ?? this.#options.createRequestId(),
      isIdGenerated: requestId === undefined,
      ...head,
      malformation,
      relayedAttempts,
      req,
      res,
      startedMs: nowMs(),
      body: undefined,
      attempt: undefined,
      result: undefined,
      routeId: "",
      end: "",
    };
    const connection = getCallerConnection(req.socket);
    const isHandled = connection.add(
      req,
      res,
      () => this.#cancelUnreadable(exchange),
    );
    if (!isHandled) return void req.resume();
    this.#exchanges.set(id, exchange);
    this.#tickTimer ??= setInterval(
      () => this.dispatch({ type: "tick" }),
      TICK_INTERVAL_MS,
    );
    res.once("close", () => this.#handleClose(exchange));
    // Node.js does not close the response to a pipelined request whose turn has
    // not come when the connection closes.
    req.once("close", () => {
      if (req.socket.destroyed) this.#handleClose(exchange);
    });
    res.on("drain", () => exchange.attempt?.resumeStream());
    this.dispatch({
      type: "request_arrived",
      incoming: this.#createIncomingRequest(exchange),
    });
    if (!this.#state.requests.has(id)) {
      req.resume();
      return;
    }
    const maxBytes = dependencies.document()?.limits.maxBodyBytes ?? 0;
    const body = new RequestBody(req, {
      maxBytes,
      onReady: () => this.#dispatchBodyReady(exchange, body),
      onTooLarge: () =>
        this.dispatch({ type: "body_too_large", requestId: id }),
      onMemoryFull: () =>
        this.dispatch({ type: "body_memory_full", requestId: id }),
      onReadingEnded: () => connection.closeAfterResponses(),
      memory: this.#bodyMemory,
    });
    exchange.body = body;
    if (body.isEmpty) this.#dispatchBodyReady(exchange, body);
  }

  /** Passes an event to the request reducer and applies the effects. */
  dispatch(event: RequestEvent): void {
    const { dependencies, nowMs, log } = this.#options;
    try {
      for (
        const effect of reduceRequest(this.#state, event, nowMs(), dependencies)
      ) {
        this.#applyEffect(effect);
      }
    } catch (error) {
      logUnexpectedError(log, event.type, error);
      if (event.type === "request_arrived") {
        this.#fail(event.incoming.requestId);
      } else if ("requestId" in event) this.#fail(event.requestId);
    }
  }

  /** Ends a request whose handling failed. It may have run. */
  #fail(requestId: number): void {
    const { metrics, dependencies, log, nowMs } = this.#options;
    const exchange = this.#exchanges.get(requestId);
    try {
      const event = { type: "request_failed", requestId } as const;
      const effects = reduceRequest(this.#state, event, nowMs(), dependencies);
      for (const effect of effects) this.#applyEffect(effect);
    } catch (error) {
      logUnexpectedError(log, "request_failed", error);
      this.#state.requests.delete(requestId);
    }
    if (exchange === undefined) return;
    exchange.attempt?.abort();
    exchange.attempt = undefined;
    exchange.end = "internal";
    metrics.refusals.inc({ kind: "internal" });
    const { res } = exchange;
    if (res.headersSent) {
      exchange.end = "broken";
      return breakOffResponse(res);
    }
    exchange.body?.dispose();
    this.#writeRefusal(
      exchange,
      createRefusal("internal", dependencies.random),
    );
  }

  #writeRefusal(exchange: HttpExchange, refusal: Refusal): void {
    const { headerNames, log } = this.#options;
    const { res, callerRequestId } = exchange;
    whenNext(res, () => {
      try {
        writeRefusal(res, refusal, {
          closesConnection: this.#closesConnection(exchange),
          extraHeaders: { [headerNames.requestId]: callerRequestId },
        });
      } catch (error) {
        logUnexpectedError(log, "refusal", error);
        res.destroy();
      }
    });
  }

  #createIncomingRequest(
    { id, req, target, malformation, relayedAttempts }: HttpExchange,
  ): IncomingRequest {
    const { headerNames } = this.#options;
    const timeoutMs = Number(findHeader(req, headerNames.timeoutMs) ?? 0);
    const contentLength = req.headers["content-length"];
    return {
      requestId: id,
      method: req.method ?? "GET",
      host: target.host,
      path: target.path,
      keyDigest: hashApiKey(req.headers.authorization),
      affinityKey: findHeader(req, headerNames.affinityKey) ?? "",
      timeoutMs: Number.isFinite(timeoutMs) ? Math.max(0, timeoutMs) : 0,
      headerBytes: countHeaderBytes(req.rawHeaders),
      bodyBytes: contentLength === undefined ? -1 : Number(contentLength),
      malformation,
      relayedAttempts,
    };
  }

  #dispatchBodyReady(
    { id, req, target }: HttpExchange,
    body: RequestBody,
  ): void {
    this.dispatch({
      type: "body_ready",
      requestId: id,
      bytes: body.receivedBytes,
      contentHash: body.hashContent(req.method ?? "GET", target.path),
    });
  }

  #applyEffect(effect: RequestEffect): void {
    if (effect.type === "check_target") {
      return this.#options.checkTarget(effect.target);
    }
    if (effect.type === "block" || effect.type === "suspect") {
      const { type, ...crashReport } = effect;
      this.#options.log.event(`request_${type}`, crashReport);
      return this.#options.publishCrashReport(crashReport);
    }
    const exchange = this.#exchanges.get(effect.requestId);
    if (effect.type === "hold_ended") {
      return recordHoldEnd(effect, exchange?.callerRequestId, this.#options);
    }
    if (exchange === undefined) return;
    switch (effect.type) {
      case "hold":
        return recordHold(effect, exchange.callerRequestId, this.#options);
      case "send":
        return this.#attempts.startOnTarget(effect, exchange);
      case "relay":
        return this.#attempts.startOnHost(effect, exchange);
      case "deliver":
        return this.#deliver(exchange);
      case "refuse":
        return this.#refuse(effect, exchange);
      case "abort":
        exchange.attempt?.abort();
        exchange.attempt = undefined;
        return;
      case "disconnect_caller":
        exchange.end = "broken";
        breakOffResponse(exchange.res);
    }
  }

  #deliver(exchange: HttpExchange): void {
    const { result, res } = exchange;
    const response = result?.response;
    exchange.end = "answered";
    if (response === undefined) return void res.end();
    whenNext(res, () => {
      try {
        writeBufferedResponse(res, response, {
          closesConnection: this.#closesConnection(exchange),
        });
      } catch (error) {
        logUnexpectedError(this.#options.log, "response", error);
        this.#fail(exchange.id);
      }
    });
  }

  #refuse({ refusal, context }: RefuseEffect, exchange: HttpExchange): void {
    const { res, req, callerRequestId, body } = exchange;
    const { log, metrics, dependencies } = this.#options;
    exchange.end = refusal.kind;
    exchange.routeId = context.routeId;
    metrics.refusals.inc({ kind: refusal.kind });
    log.request("refused", {
      request: callerRequestId,
      kind: refusal.kind,
      status: refusal.status,
      ran: refusal.ran,
      retryAfterMs: refusal.retryAfterMs,
      documentVersion: dependencies.document()?.version,
      path: req.url,
      ...context,
    }, true);
    if (res.headersSent || res.destroyed) return;
    body?.dispose();
    this.#writeRefusal(exchange, refusal);
  }

  /**
   * Cancels a request whose body cannot be read any further. Returns false if it
   * has a response, which may still wait for its turn; one that is streamed is
   * broken off.
   */
  #cancelUnreadable(exchange: HttpExchange): boolean {
    const { res, end } = exchange;
    if (end !== "") return false;
    if (!res.headersSent) {
      this.#handleClose(exchange);
      return true;
    }
    exchange.end = "broken";
    breakOffResponse(res);
    return false;
  }

  /** Whether to close the connection after a response that is written next. */
  #closesConnection(
    { req, res }: HttpExchange,
    { isRequired = false }: { isRequired?: boolean } = {},
  ): boolean {
    return getCallerConnection(req.socket).closesAfter(res, {
      isWanted: this.#options.closesConnections(),
      isRequired,
    });
  }

  #handleClose(exchange: HttpExchange): void {
    const { id, req, res, startedMs, routeId } = exchange;
    const { nowMs, metrics } = this.#options;
    if (!this.#exchanges.delete(id)) return;
    const tookMs = nowMs() - startedMs;
    if (exchange.end === "broken") this.#reportUnanswered(exchange, "host");
    else if (!res.writableFinished) {
      exchange.end = "caller_left";
      this.dispatch({ type: "caller_disconnected", requestId: id });
      const { isEndedByHost } = getCallerConnection(req.socket);
      this.#reportUnanswered(exchange, isEndedByHost ? "host" : "caller");
    }
    exchange.attempt?.abort();
    exchange.body?.dispose();
    metrics.requests.inc({ route: routeId, end: exchange.end });
    metrics.requestSeconds.observe({ route: routeId }, tookMs / 1_000);
    if (this.#exchanges.size > 0) return;
    clearInterval(this.#tickTimer);
    this.#tickTimer = undefined;
    for (const resolve of this.#idleCallbacks.splice(0)) resolve();
  }

  /** Logs and counts a request whose response is not complete. */
  #reportUnanswered(
    { callerRequestId, routeId, req, res, startedMs }: HttpExchange,
    closedBy: "caller" | "host" | "exit",
  ): void {
    const { nowMs, metrics, log } = this.#options;
    metrics.unansweredCloses.inc({ closed_by: closedBy });
    const fields = {
      request: callerRequestId,
      route: routeId,
      path: req.url,
      tookMs: Math.round(nowMs() - startedMs),
    };
    if (closedBy === "caller") log.request("caller_left", fields, true);
    else {
      log.request("response_cut_off", {
        ...fields,
        closedBy,
        hasHead: res.headersSent,
      }, true);
    }
  }
}

/**
 * Calls `write` when a response is the next on its connection: at once, or when
 * the responses to earlier requests are complete.
 */
function whenNext(res: ServerResponse, write: () => void): void {
  if (res.socket !== null) return write();
  res.once("socket", () =>
    process.nextTick(() => {
      if (!res.destroyed) write();
    }));
}
