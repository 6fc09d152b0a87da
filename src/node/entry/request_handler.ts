/**
 * Turns what happens on sockets into events of the request pipeline and
 * carries out its effects.
 *
 * @module
 */
import { createHash } from "node:crypto";
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
import { countHeaderBytes, formatRequestHead } from "../front/headers.ts";
import { RequestBody } from "../front/request_body.ts";
import {
  startStreamedResponse,
  writeBufferedResponse,
  writeRefusal,
} from "../front/response_writer.ts";
import type { HeaderNames } from "../header_names.ts";
import { Attempt } from "../target/attempt.ts";
import type { ConnectionPool } from "../target/connection_pool.ts";
import type { Log } from "../telemetry/log.ts";
import type { Metrics } from "../telemetry/metrics.ts";
import type { Tracing } from "../telemetry/tracing.ts";
import type { Exchange } from "./exchange.ts";

/** Time between two looks at deadlines. */
const TICK_MS = 50;

type SendEffect = Extract<RequestEffect, { type: "send" }>;
type RefuseEffect = Extract<RequestEffect, { type: "refuse" }>;

/** What a handler is built from. */
export interface RequestHandlerOptions {
  readonly parts: PipelineDependencies;
  readonly pool: ConnectionPool;
  readonly names: HeaderNames;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly tracing: Tracing;
  readonly nowMs: () => number;
  /** Whether callers should leave their connections. */
  readonly closesConnections: () => boolean;
  /** Tells other hosts about requests that crash targets. */
  readonly publishBlame: (blame: {
    readonly fingerprint: string;
    /** Target that died; absent when the fingerprint is blocked. */
    readonly targetId?: string;
  }) => void;
}

/** Requests in progress. */
export class RequestHandler {
  readonly #options: RequestHandlerOptions;
  readonly #state = createPipelineState();
  readonly #exchanges = new Map<number, Exchange>();
  readonly #checking = new Set<string>();
  #nextId = 1;
  #timer: NodeJS.Timeout | undefined;
  #onIdle: (() => void)[] = [];

  constructor(options: RequestHandlerOptions) {
    this.#options = options;
  }

  /** Number of requests that have no whole answer yet. */
  get inProgress(): number {
    return this.#exchanges.size;
  }

  /** Resolves when no request is in progress. */
  whenIdle(): Promise<void> {
    if (this.#exchanges.size === 0) return Promise.resolve();
    return new Promise((resolve) => this.#onIdle.push(resolve));
  }

  /** Handles a request of a caller. */
  handle(req: IncomingMessage, res: ServerResponse): void {
    const { names, nowMs, parts } = this.#options;
    const id = this.#nextId++;
    const callerId = singleHeader(req, names.requestId) ?? `local-${id}`;
    const exchange: Exchange = {
      id,
      callerId,
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
    this.#timer ??= setInterval(() => this.dispatch({ type: "tick" }), TICK_MS);
    res.once("close", () => this.#close(exchange));
    res.on("drain", () => exchange.attempt?.resumeStream());
    this.dispatch({
      type: "request_arrived",
      incoming: this.#arrivalOf(exchange),
    });
    if (!this.#state.requests.has(id)) {
      req.resume();
      return;
    }
    const maxBytes = parts.document()?.limits.maxBodyBytes ?? 0;
    const body = new RequestBody(req, {
      maxBytes,
      onReady: () => this.#startBody(exchange, body),
      onTooLarge: () =>
        this.dispatch({ type: "body_too_large", requestId: id }),
    });
    exchange.body = body;
    if (body.isEmpty) this.#startBody(exchange, body);
  }

  /** Applies an event and carries out the effects. */
  dispatch(event: RequestEvent): void {
    const { parts, nowMs } = this.#options;
    for (const effect of reduceRequest(this.#state, event, nowMs(), parts)) {
      this.#carryOut(effect);
    }
  }

  #arrivalOf({ id, req }: Exchange): IncomingRequest {
    const { names } = this.#options;
    const timeout = singleHeader(req, names.timeoutMs);
    const timeoutMs = timeout === undefined ? 0 : Number(timeout);
    const length = req.headers["content-length"];
    return {
      requestId: id,
      method: req.method ?? "GET",
      host: req.headers.host ?? "",
      path: req.url ?? "/",
      keyDigest: digestOfKey(req.headers.authorization),
      affinityKey: singleHeader(req, names.objectKey) ?? "",
      timeoutMs: Number.isFinite(timeoutMs) ? Math.max(0, timeoutMs) : 0,
      headerBytes: countHeaderBytes(req.rawHeaders),
      bodyBytes: length === undefined ? -1 : Number(length),
      isMalformed: !Number.isFinite(timeoutMs),
    };
  }

  #startBody({ id, req }: Exchange, body: RequestBody): void {
    this.dispatch({
      type: "body_ready",
      requestId: id,
      bytes: body.receivedBytes,
      contentHash: body.hashContent(req.method ?? "GET", req.url ?? "/"),
    });
  }

  #carryOut(effect: RequestEffect): void {
    if (effect.type === "check_target") return this.#checkTarget(effect.target);
    if (effect.type === "block" || effect.type === "suspect") {
      const { type, ...blame } = effect;
      this.#options.log.event(`request_${type}`, blame);
      return this.#options.publishBlame(blame);
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

  #send(effect: SendEffect, exchange: Exchange): void {
    const { target, route, organisation, remainingMs, decision } = effect;
    const { req, id, callerId, body } = exchange;
    const { names, pool, nowMs, log, metrics, tracing } = this.#options;
    if (body === undefined) return;
    exchange.routeId = route.id;
    const sentMs = nowMs();
    const method = req.method ?? "GET";
    const opened = body.startSending();
    const span = tracing.startHopSpan("attempt", req.headers.traceparent);
    span.setAttribute("target", target.id);
    const attempt = new Attempt({
      address: target.address,
      pool,
      headerNames: names,
      nowMs,
      request: {
        method,
        head: formatRequestHead(
          { method, path: req.url ?? "/", rawHeaders: req.rawHeaders },
          { remainingMs, targetId: target.id, organisation },
          opened.framing,
          names,
        ),
        requestId: callerId,
        body: opened.body,
        remainingBody: opened.remainingBody,
        idempotent: route.idempotent,
      },
      listener: {
        onStreamStarted: (head) => {
          this.dispatch({ type: "response_started", requestId: id });
          startStreamedResponse(exchange.res, head, this.#answerOptions());
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
            request: callerId,
            route: route.id,
            target: target.id,
            address: target.address,
            version: target.version,
            zone: target.availabilityZone,
            documentVersion: this.#options.parts.document()?.version,
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
            responseBytes: result.response?.body.length ?? 0,
          });
        },
      },
    });
    exchange.attempt = attempt;
    attempt.start();
  }

  #deliver(exchange: Exchange): void {
    const { result, res } = exchange;
    exchange.end = "answered";
    if (result?.response === undefined) res.end();
    else writeBufferedResponse(res, result.response, this.#answerOptions());
  }

  #refuse({ refusal, context: about }: RefuseEffect, exchange: Exchange): void {
    const { res, req, callerId, body } = exchange;
    const { log, metrics, parts, names } = this.#options;
    exchange.end = refusal.kind;
    exchange.routeId = about.routeId;
    metrics.refusals.inc({ kind: refusal.kind });
    log.request("refused", {
      request: callerId,
      kind: refusal.kind,
      status: refusal.status,
      ran: refusal.ran,
      retryAfterMs: refusal.retryAfterMs,
      documentVersion: parts.document()?.version,
      path: req.url,
      ...about,
    }, true);
    if (res.headersSent || res.destroyed) return;
    body?.dispose();
    writeRefusal(res, refusal, {
      ...this.#answerOptions(),
      extraHeaders: { [names.requestId]: callerId },
    });
  }

  /** A target that refuses a connection after a broken attempt has died. */
  #checkTarget(target: Target): void {
    const { pool, metrics, log } = this.#options;
    if (this.#checking.has(target.id)) return;
    this.#checking.add(target.id);
    pool.closeIdle(target.address);
    pool.open(target.address, (result) => {
      this.#checking.delete(target.id);
      const refused = result instanceof Error;
      metrics.targetProbes.inc({ result: refused ? "refused" : "connected" });
      log.event("target_checked", { target: target.id, refused });
      if (refused) {
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

  #answerOptions() {
    return { closesConnection: this.#options.closesConnections() };
  }

  #close(exchange: Exchange): void {
    const { id, res, callerId, startedMs, routeId, req } = exchange;
    const { nowMs, metrics, log } = this.#options;
    this.#exchanges.delete(id);
    const tookMs = nowMs() - startedMs;
    if (!res.writableFinished && exchange.end !== "broken") {
      exchange.end = "caller_left";
      this.dispatch({ type: "caller_disconnected", requestId: id });
      log.request("caller_left", {
        request: callerId,
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
    clearInterval(this.#timer);
    this.#timer = undefined;
    for (const resolve of this.#onIdle.splice(0)) resolve();
  }
}

const BEARER = /^Bearer +(\S+) *$/i;

/** Digest of a caller's key in hex; "" without one. */
function digestOfKey(authorization: string | undefined): string {
  const match = BEARER.exec(authorization ?? "");
  if (match === null) return "";
  return createHash("sha256").update(match[1]).digest("hex");
}

function singleHeader(req: IncomingMessage, name: string): string | undefined {
  const value = req.headers[name];
  return Array.isArray(value) ? value[0] : value;
}
