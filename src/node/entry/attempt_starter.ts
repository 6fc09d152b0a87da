/**
 * Starts the attempts of a request on targets and on other hosts, and reports
 * their progress to the request pipeline.
 *
 * @module
 */
import type { Route } from "../../core/document/document.ts";
import type { PipelineDependencies } from "../../core/request/dependencies.ts";
import type { RequestEffect, RequestEvent } from "../../core/request/types.ts";
import {
  type BodyFraming,
  formatRelayHead,
  formatRequestHead,
  type ForwardedRequest,
} from "../front/headers.ts";
import {
  endsWithConnection,
  startStreamedResponse,
} from "../front/response_writer.ts";
import type { HeaderNames } from "../header_names.ts";
import { Attempt } from "../target/attempt.ts";
import type { ConnectionPool } from "../target/connection_pool.ts";
import type { AttemptResult } from "../target/types.ts";
import type { Log } from "../telemetry/log.ts";
import type { Metrics } from "../telemetry/metrics.ts";
import type { Tracing } from "../telemetry/tracing.ts";
import type { HttpExchange } from "./http_exchange.ts";

type SendEffect = Extract<RequestEffect, { type: "send" }>;
type RelayEffect = Extract<RequestEffect, { type: "relay" }>;

/** Options of an `AttemptStarter`. */
export interface AttemptStarterOptions {
  readonly dependencies: Pick<PipelineDependencies, "document">;
  /** Connections to targets. */
  readonly pool: ConnectionPool;
  /** Connections to other hosts. */
  readonly relayPool: ConnectionPool;
  readonly headerNames: HeaderNames;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly tracing: Tracing;
  readonly nowMs: () => number;
  /**
   * Whether to close the caller's connection after the response, whose head is
   * written next. `isRequired` is whether only that marks its end.
   */
  readonly closesConnection: (
    exchange: HttpExchange,
    options: { isRequired: boolean },
  ) => boolean;
  /** Called when bytes of a request are being sent to a target. */
  readonly onSentToTarget?: (requestId: number) => void;
  /** Passes an event to the request pipeline. */
  readonly dispatch: (event: RequestEvent) => void;
  /** Ends a request after an unexpected error in the named work. */
  readonly failRequest: (
    requestId: number,
    work: string,
    error: unknown,
  ) => void;
}

/** What differs between attempts on targets and on other hosts. */
interface StartOptions {
  readonly address: string;
  readonly pool: ConnectionPool;
  readonly isRelay?: boolean;
  readonly route: Route;
  readonly span: { readonly name: string; readonly target: string };
  readonly formatHead: (
    request: ForwardedRequest,
    requestId: string,
    framing: BodyFraming,
  ) => string;
  /** Counts and logs the result. */
  readonly onEnded: (result: AttemptResult, tookMs: number) => void;
}

/** Starts attempts. */
export class AttemptStarter {
  readonly #options: AttemptStarterOptions;

  constructor(options: AttemptStarterOptions) {
    this.#options = options;
  }

  /** Sends a request to a target. */
  startOnTarget(effect: SendEffect, exchange: HttpExchange): void {
    const { target, route, organisation, remainingMs, decision } = effect;
    const { headerNames, metrics } = this.#options;
    this.#start(exchange, {
      address: target.address,
      pool: this.#options.pool,
      route,
      span: { name: "attempt", target: target.id },
      formatHead: (request, requestId, framing) =>
        formatRequestHead(
          request,
          { remainingMs, targetId: target.id, organisation, requestId },
          framing,
          headerNames,
        ),
      onEnded: ({ end: { outcome, status, load }, detail }, tookMs) => {
        metrics.attempts.inc({ service: target.service, outcome });
        metrics.attemptSeconds.observe(
          { service: target.service },
          tookMs / 1_000,
        );
        this.#options.log.request("attempt", {
          request: exchange.callerRequestId,
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
          statedRequests: load && load.running + load.waiting,
          statedPacePercent: load?.pacePercent,
          detail,
          tookMs: Math.round(tookMs),
        }, outcome !== "answered");
      },
    });
  }

  /** Sends a request to another host, which sends it to a target. */
  startOnHost(effect: RelayEffect, exchange: HttpExchange): void {
    const { host, route, organisation, remainingMs, maxAttempts } = effect;
    const { headerNames, metrics } = this.#options;
    this.#start(exchange, {
      address: host.peerAddress,
      pool: this.#options.relayPool,
      isRelay: true,
      route,
      span: { name: "relay", target: host.id },
      formatHead: (request, requestId, framing) =>
        formatRelayHead(
          request,
          { remainingMs, maxAttempts, requestId },
          framing,
          headerNames,
        ),
      onEnded: ({ end: { outcome, status }, detail }, tookMs) => {
        metrics.relays.inc({ outcome });
        this.#options.log.request("relayed", {
          request: exchange.callerRequestId,
          route: route.id,
          peer: host.id,
          organisation,
          attempt: effect.attempt,
          remainingMs: Math.round(remainingMs),
          outcome,
          status,
          detail,
          tookMs: Math.round(tookMs),
        }, outcome !== "answered");
      },
    });
  }

  #start(exchange: HttpExchange, options: StartOptions): void {
    const { address, pool, isRelay, route, formatHead, onEnded } = options;
    const { req, id, callerRequestId, body } = exchange;
    const { headerNames, nowMs, tracing, dispatch, closesConnection, metrics } =
      this.#options;
    if (body === undefined) return;
    exchange.routeId = route.id;
    const sentMs = nowMs();
    const method = req.method ?? "GET";
    const outgoingBody = body.startSending();
    const span = tracing.startHopSpan(
      options.span.name,
      req.headers.traceparent,
    );
    span.setAttribute("target", options.span.target);
    /** Runs a step of passing on the response; an error ends the request. */
    const protect = <T>(work: string, action: () => T): T | undefined => {
      try {
        return action();
      } catch (error) {
        this.#options.failRequest(id, work, error);
        return undefined;
      }
    };
    const attempt = new Attempt({
      address,
      pool,
      headerNames,
      isRelay,
      nowMs,
      request: {
        method,
        head: formatHead(
          {
            method,
            path: exchange.target.path,
            rawHeaders: req.rawHeaders,
            host: exchange.target.host,
          },
          exchange.isIdGenerated ? callerRequestId : "",
          outgoingBody.framing,
        ),
        requestId: callerRequestId,
        body: outgoingBody.body,
        remainingBody: outgoingBody.remainingBody,
        idempotent: route.idempotent,
      },
      listener: {
        onSent: () => {
          if (isRelay !== true) this.#options.onSentToTarget?.(id);
        },
        onStatement: (statement) =>
          dispatch({ type: "target_stated", requestId: id, statement }),
        onStreamStarted: (head) =>
          protect("response_started", () => {
            dispatch({ type: "response_started", requestId: id });
            startStreamedResponse(exchange.res, head, {
              closesConnection: closesConnection(exchange, {
                isRequired: endsWithConnection(exchange.res, head),
              }),
            });
          }),
        onStreamData: (chunk) =>
          protect("response_data", () => exchange.res.write(chunk)) ?? true,
        onEnded: (result) =>
          protect("attempt_ended", () => {
            span.end(result.end.outcome);
            for (const { header, reason } of result.unreadFigures) {
              metrics.unreadFigures.inc({ header, reason });
            }
            onEnded(result, nowMs() - sentMs);
            exchange.result = result;
            exchange.attempt = undefined;
            dispatch({
              type: "attempt_ended",
              requestId: id,
              end: result.end,
              mayHaveReachedTarget: result.mayHaveReachedTarget,
              canResend: body.canResend,
              responseBytes: result.receivedBytes,
            });
          }),
      },
    });
    exchange.attempt = attempt;
    attempt.start();
  }
}
