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
import type { Target } from "../../core/targets/types.ts";
import { createRefusal } from "../../core/errors.ts";
import { countHeaderBytes, formatRequestHead } from "../front/headers.ts";
import { RequestBody } from "../front/request_body.ts";
import {
  findHeader,
  hashApiKey,
  readRequestHead,
} from "../front/request_head.ts";
import {
  startStreamedResponse,
  writeBufferedResponse,
  writeRefusal,
} from "../front/response_writer.ts";
import type { HeaderNames } from "../header_names.ts";
import { Attempt } from "../target/attempt.ts";
import type { ConnectionPool } from "../target/connection_pool.ts";
import { logUnexpectedError } from "../telemetry/guard.ts";
import type { Log } from "../telemetry/log.ts";
import type { Metrics } from "../telemetry/metrics.ts";
import type { Tracing } from "../telemetry/tracing.ts";
import type { HttpExchange } from "./http_exchange.ts";

/** Time between two `tick` events, at which deadlines are checked. */
const TICK_INTERVAL_MS = 50;

type SendEffect = Extract<RequestEffect, { type: "send" }>;
type RefuseEffect = Extract<RequestEffect, { type: "refuse" }>;

/** Options of a `RequestHandler`. */
export interface RequestHandlerOptions {
  readonly dependencies: PipelineDependencies;
  readonly pool: ConnectionPool;
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
  readonly #state = createPipelineState();
  readonly #exchanges = new Map<number, HttpExchange>();
  readonly #targetIdsInCheck = new Set<string>();
  #nextId = 1;
  #tickTimer: NodeJS.Timeout | undefined;
  #idleCallbacks: (() => void)[] = [];

  constructor(options: RequestHandlerOptions) {
    this.#options = options;
  }

  /** Number of requests whose response is not complete. */
  get requestsInProgress(): number {
    return this.#exchanges.size;
  }

  /** Resolves when no request is in progress. */
  whenIdle(): Promise<void> {
    if (this.#exchanges.size === 0) return Promise.resolve();
    return new Promise((resolve) => this.#idleCallbacks.push(resolve));
  }

  handle(req: IncomingMessage, res: ServerResponse): void {
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
      req,
      res,
      startedMs: nowMs(),
      body: undefined,
      attempt: undefined,
      result: undefined,
      routeId: "",
      end: "",
    };
    this.#exchanges.set(id, exchange);
    this.#tickTimer ??= setInterval(
      () => this.dispatch({ type: "tick" }),
      TICK_INTERVAL_MS,
    );
    res.once("close", () => this.#handleClose(exchange));
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
    this.#state.requests.delete(requestId);
    const exchange = this.#exchanges.get(requestId);
    if (exchange === undefined) return;
    exchange.attempt?.abort();
    exchange.attempt = undefined;
    const { metrics, dependencies, headerNames } = this.#options;
    exchange.end = "internal";
    metrics.refusals.inc({ kind: "internal" });
    const { res, callerRequestId } = exchange;
    if (res.headersSent) return void res.destroy();
    exchange.body?.dispose();
    writeRefusal(res, createRefusal("internal", dependencies.random), {
      closesConnection: true,
      extraHeaders: { [headerNames.requestId]: callerRequestId },
    });
  }

  #createIncomingRequest(
    { id, req, target, malformation }: HttpExchange,
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
    if (effect.type === "check_target") return this.#checkTarget(effect.target);
    if (effect.type === "block" || effect.type === "suspect") {
      const { type, ...crashReport } = effect;
      this.#options.log.event(`request_${type}`, crashReport);
      return this.#options.publishCrashReport(crashReport);
    }
    const exchange = this.#exchanges.get(effect.requestId);
    if (exchange === undefined) return;
    switch (effect.type) {
      case "send":
        return this.#send(effect, exchange);
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
        exchange.res.destroy();
    }
  }

  #send(effect: SendEffect, exchange: HttpExchange): void {
    const { target, route, organisation, remainingMs, decision } = effect;
    const { req, id, callerRequestId, body } = exchange;
    const { headerNames, pool, nowMs, log, metrics, tracing } = this.#options;
    if (body === undefined) return;
    exchange.routeId = route.id;
    const sentMs = nowMs();
    const method = req.method ?? "GET";
    const outgoingBody = body.startSending();
    const span = tracing.startHopSpan("attempt", req.headers.traceparent);
    span.setAttribute("target", target.id);
    const attempt = new Attempt({
      address: target.address,
      pool,
      headerNames,
      nowMs,
      request: {
        method,
        head: formatRequestHead(
          {
            method,
            path: exchange.target.path,
            rawHeaders: req.rawHeaders,
            host: exchange.target.host,
          },
          {
            remainingMs,
            targetId: target.id,
            organisation,
            requestId: exchange.isIdGenerated ? callerRequestId : "",
          },
          outgoingBody.framing,
          headerNames,
        ),
        requestId: callerRequestId,
        body: outgoingBody.body,
        remainingBody: outgoingBody.remainingBody,
        idempotent: route.idempotent,
      },
      listener: {
        onStatement: (statement) =>
          this.dispatch({ type: "target_stated", requestId: id, statement }),
        onStreamStarted: (head) => {
          this.dispatch({ type: "response_started", requestId: id });
          startStreamedResponse(exchange.res, head, this.#responseOptions());
        },
        onStreamData: (chunk) => exchange.res.write(chunk),
        onEnded: (result) => {
          const { outcome, status } = result.end;
          const tookMs = nowMs() - sentMs;
          span.end(outcome);
          metrics.attempts.inc({ service: target.service, outcome });
          metrics.attemptSeconds.observe(
            { service: target.service },
            tookMs / 1_000,
          );
          log.request("attempt", {
            request: callerRequestId,
            route: route.id,
            target: target.id,
            address: target.address,
            version: target.version,
            zone: target.availabilityZone,
            documentVersion: this.#options.dependencies.document()?.version,
            organisation,
            ...decision,
            remainingMs: Math.round(remainingMs),
            outcome,
            status,
            detail: result.detail,
            tookMs: Math.round(tookMs),
          }, outcome !== "answered");
          exchange.result = result;
          exchange.attempt = undefined;
          this.dispatch({
            type: "attempt_ended",
            requestId: id,
            end: result.end,
            mayHaveReachedTarget: result.mayHaveReachedTarget,
            canResend: body.canResend,
            responseBytes: result.receivedBytes,
          });
        },
      },
    });
    exchange.attempt = attempt;
    attempt.start();
  }

  #deliver(exchange: HttpExchange): void {
    const { result, res } = exchange;
    exchange.end = "answered";
    if (result?.response === undefined) res.end();
    else writeBufferedResponse(res, result.response, this.#responseOptions());
  }

  #refuse({ refusal, context }: RefuseEffect, exchange: HttpExchange): void {
    const { res, req, callerRequestId, body } = exchange;
    const { log, metrics, dependencies, headerNames } = this.#options;
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
    writeRefusal(res, refusal, {
      ...this.#responseOptions(),
      extraHeaders: { [headerNames.requestId]: callerRequestId },
    });
  }

  /**
   * Checks whether a target accepts connections. One that refuses a connection
   * after a broken attempt is considered crashed.
   */
  #checkTarget(target: Target): void {
    const { pool, metrics, log } = this.#options;
    if (this.#targetIdsInCheck.has(target.id)) return;
    this.#targetIdsInCheck.add(target.id);
    pool.closeIdle(target.address);
    pool.open(target.address, (result) => {
      this.#targetIdsInCheck.delete(target.id);
      const isRefused = result instanceof Error;
      metrics.targetChecks.inc({ result: isRefused ? "refused" : "connected" });
      log.event("target_checked", { target: target.id, refused: isRefused });
      if (isRefused) {
        return this.dispatch({
          type: "connection_refused",
          targetId: target.id,
        });
      }
      const { nowMs } = this.#options;
      pool.addIdle(target.address, result, {
        keepAliveMs: -1,
        nowMs: nowMs(),
      });
    });
  }

  #responseOptions() {
    return { closesConnection: this.#options.closesConnections() };
  }

  #handleClose(exchange: HttpExchange): void {
    const { id, res, callerRequestId, startedMs, routeId, req } = exchange;
    const { nowMs, metrics, log } = this.#options;
    this.#exchanges.delete(id);
    const tookMs = nowMs() - startedMs;
    if (!res.writableFinished && exchange.end !== "broken") {
      exchange.end = "caller_left";
      this.dispatch({ type: "caller_disconnected", requestId: id });
      log.request("caller_left", {
        request: callerRequestId,
        route: routeId,
        path: req.url,
        tookMs: Math.round(tookMs),
      }, true);
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
}
