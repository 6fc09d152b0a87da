/**
 * State transitions of the request pipeline, one method for each event.
 * `reduceRequest` creates a `PipelineTransition` for every event, calls the
 * method of the event and returns the collected effects.
 *
 * @module
 */
import { createRefusal, replaceNotRunKind } from "../errors.ts";
import type { HostAddress } from "../membership/types.ts";
import type { AvailabilityStatement } from "../targets/stated_availability.ts";
import type { AttemptEnd, AttemptOutcome } from "../targets/types.ts";
import { checkArrival } from "./arrival.ts";
import {
  type CrashContext,
  recordAttemptOutcome,
  recordRefusedConnection,
} from "./crash_effects.ts";
import type { PipelineDependencies } from "./dependencies.ts";
import { recordAttemptEnd } from "./attempt_statistics.ts";
import { provesNotRun } from "./outcomes.ts";
import type { PipelineState } from "./pipeline.ts";
import { type AttemptEndedEvent, prepareRetry } from "./retry_decision.ts";
import { isTargetSilent } from "./silent_target.ts";
import type {
  IncomingRequest,
  RefusalContext,
  RefusalReason,
  RequestEffect,
  RequestEvent,
  RequestState,
} from "./types.ts";

type BodyReadyEvent = Extract<RequestEvent, { type: "body_ready" }>;

/** Retry delay that callers are advised after the last target shed load. */
const SHED_RETRY_AFTER_MS = 60;

/** Applies one event to the state and collects its effects. */
export class PipelineTransition {
  readonly effects: RequestEffect[] = [];
  #state: PipelineState;
  #nowMs: number;
  #dependencies: PipelineDependencies;

  constructor(
    state: PipelineState,
    nowMs: number,
    dependencies: PipelineDependencies,
  ) {
    this.#state = state;
    this.#nowMs = nowMs;
    this.#dependencies = dependencies;
  }

  handleArrival(incoming: IncomingRequest): void {
    const result = checkArrival(incoming, this.#dependencies, this.#nowMs);
    if ("request" in result) {
      const { request } = result;
      this.#state.requests.set(request.requestId, request);
      // The host that relays a request has counted it.
      if (!request.isRelayed) {
        this.#dependencies.addToRetryBudget(request.service, this.#nowMs);
      }
      return;
    }
    const { refusalReason, route, organisation } = result;
    this.#emitRefusal(incoming.requestId, refusalReason, {
      routeId: route?.id ?? "",
      service: "",
      organisation: organisation?.id ?? "",
      attempts: 0,
      heldMs: 0,
      why: refusalReason.reason,
    });
  }

  handleBodyReady({ requestId, bytes, contentHash }: BodyReadyEvent): void {
    const request = this.#state.requests.get(requestId);
    if (request === undefined || request.phase !== "reading") return;
    const { route, organisation } = request;
    request.fingerprint = `${route.id}/${
      organisation?.id ?? ""
    }/${contentHash}`;
    request.bodyBytes = Math.max(request.bodyBytes, bytes);
    this.#startAttempt(request);
  }

  handleBodyTooLarge(requestId: number): void {
    const request = this.#state.requests.get(requestId);
    if (request === undefined) return;
    this.#endWithRefusal(request, {
      kind: "body_too_large",
      reason: "the body exceeds the size limit",
    });
  }

  handleBodyMemoryFull(requestId: number): void {
    const request = this.#state.requests.get(requestId);
    if (request === undefined) return;
    this.#endWithRefusal(request, {
      kind: "host_full",
      reason: "the memory for request bodies is used up",
    });
  }

  handleStatement(requestId: number, statement: AvailabilityStatement): void {
    const attempt = this.#state.requests.get(requestId)?.currentAttempt;
    if (attempt === undefined) return;
    this.#dependencies.recordStatement(attempt.handle, statement, this.#nowMs);
  }

  handleAttemptEnd(event: AttemptEndedEvent): void {
    const request = this.#state.requests.get(event.requestId);
    if (request === undefined || !isInFlight(request)) return;
    const { currentAttempt: attempt, isRelayInFlight: wasRelayed } = request;
    const { end, mayHaveReachedTarget, responseBytes } = event;
    const { outcome } = end;
    request.isRelayInFlight = false;
    this.#recordAttemptEnd(request, end);
    if (!provesNotRun(outcome, mayHaveReachedTarget)) {
      request.mayHaveRun = true;
      // The other host may have made all attempts that it was allowed.
      if (wasRelayed) request.countedAttempts = request.maxAttempts;
    }
    if (attempt !== undefined) {
      const { target } = attempt.handle.state;
      this.effects.push(
        ...recordAttemptOutcome(
          request.fingerprint,
          { target, outcome },
          this.#crashContext(),
        ),
      );
    }
    if (outcome === "answered") {
      this.#dependencies.recordResponseBytes(request, responseBytes);
      this.effects.push({ type: "deliver", requestId: request.requestId });
      return this.#removeRequest(request);
    }
    if (request.hasResponseStarted) {
      this.effects.push({
        type: "disconnect_caller",
        requestId: request.requestId,
      });
      return this.#removeRequest(request);
    }
    request.hasFailureResponse = outcome === "failed";
    const mayRetry = prepareRetry(request, event, {
      dependencies: this.#dependencies,
      nowMs: this.#nowMs,
    });
    if (mayRetry) return this.#startAttempt(request);
    // A target that sheds load may accept requests again soon. Another host has
    // stated when.
    const shedRetryAfterMs = wasRelayed
      ? end.retryAfterMs
      : SHED_RETRY_AFTER_MS;
    this.#endWithRefusal(request, {
      kind: request.mayHaveRun ? "target_failed" : "no_room",
      reason: `the last attempt ended with outcome ${outcome}`,
      retryAfterMs: outcome === "shed" ? shedRetryAfterMs : undefined,
    });
  }

  /**
   * Handles a failed connection check: attributes a crash, records the target
   * as unreachable and moves its requests.
   */
  handleConnectionRefused(targetId: string): void {
    this.effects.push(
      ...recordRefusedConnection(targetId, this.#crashContext()),
    );
    this.#dependencies.recordUnreachable(targetId, this.#nowMs);
    for (const request of [...this.#state.requests.values()]) {
      if (request.currentAttempt?.handle.state.target.id === targetId) {
        this.#moveToOtherTarget(request);
      }
    }
  }

  /** Ends a request that needs no response from the reducer. */
  cancelRequest(requestId: number): void {
    const request = this.#state.requests.get(requestId);
    if (request === undefined) return;
    this.#abortAttempt(request, "cancelled");
    this.#removeRequest(request);
  }

  /**
   * Ends requests whose deadline has passed, moves those that were relayed to
   * dead hosts, and starts connection checks of silent targets.
   */
  handleTick(): void {
    for (const request of [...this.#state.requests.values()]) {
      if (request.deadlineMs <= this.#nowMs) this.#endAtDeadline(request);
      else if (request.currentAttempt !== undefined) {
        this.#checkSilentTarget(request);
      } else if (request.isRelayInFlight) this.#checkRelayHost(request);
    }
  }

  /**
   * Starts an attempt on the chosen target, or on another host if this one
   * reaches no target, or refuses the request.
   */
  #startAttempt(request: RequestState): void {
    const { fingerprint } = request;
    if (this.#dependencies.isBlocked(fingerprint)) {
      const reason = "requests with this fingerprint crashed targets";
      return this.#endWithRefusal(request, { kind: "request_blocked", reason });
    }
    // A relayed request is not relayed again, as it could go round in circles.
    if (!request.isRelayed && this.#dependencies.isTargetPathLost()) {
      const host = this.#dependencies.chooseRelayHost(request, this.#nowMs);
      if (host !== undefined) return this.#startRelay(request, host);
    }
    const usableTargets = this.#dependencies.findUsableTargets(
      request,
      this.#nowMs,
    );
    const candidate = this.#dependencies.chooseTarget(
      usableTargets,
      request,
      this.#nowMs,
    );
    if (candidate === undefined) return this.#refuseWithoutTarget(request);
    const overload = this.#dependencies.checkAdmission(
      request,
      candidate,
      this.#nowMs,
    );
    if (overload !== undefined) {
      return this.#endWithRefusal(request, { kind: "no_room", ...overload });
    }
    const {
      state,
      holderRank: rank,
      isWarm: warm,
      queueWaitMs: waitMs,
      expectedResponseMs: expectedMs,
    } = candidate;
    const { lastKnownMs } = state.load;
    const { keyHash } = request;
    request.phase = "running";
    request.countedAttempts += 1;
    request.triedTargetIds.push(state.target.id);
    request.currentAttempt = {
      isKnownWarm: keyHash !== undefined && state.warmKeys.has(keyHash),
      handle: this.#dependencies.beginAttempt(request, state, this.#nowMs),
      candidate,
      startedMs: this.#nowMs,
      isCheckStarted: false,
    };
    this.effects.push({
      type: "send",
      requestId: request.requestId,
      target: state.target,
      route: request.route,
      organisation: request.organisation?.id ?? "",
      remainingMs: request.deadlineMs - this.#nowMs,
      decision: {
        attempt: request.triedTargetIds.length,
        rank,
        warm,
        waitMs: Math.round(waitMs),
        expectedMs: Math.round(expectedMs),
        usable: usableTargets.length,
        loadAgeMs: lastKnownMs === -Infinity
          ? -1
          : Math.round(this.#nowMs - lastKnownMs),
        pacePercent: Math.round(100 * candidate.paceRatio),
      },
    });
  }

  /** Starts an attempt on another host. */
  #startRelay(request: RequestState, host: HostAddress): void {
    const { requestId, route, organisation, countedAttempts } = request;
    request.phase = "running";
    request.countedAttempts += 1;
    request.triedRelayHostIds.push(host.id);
    request.isRelayInFlight = true;
    this.effects.push({
      type: "relay",
      requestId,
      host,
      route,
      organisation: organisation?.id ?? "",
      remainingMs: request.deadlineMs - this.#nowMs,
      maxAttempts: request.maxAttempts - countedAttempts,
      attempt: request.triedTargetIds.length + request.triedRelayHostIds.length,
    });
  }

  /** Refuses a request for which there is no usable target. */
  #refuseWithoutTarget(request: RequestState): void {
    const statedDelayMs = this.#dependencies.findStatedDelayMs(
      request,
      this.#nowMs,
    );
    if (statedDelayMs === undefined) {
      const reason = `service ${request.service} has no usable target`;
      return this.#endWithRefusal(request, { kind: "no_target", reason });
    }
    this.#endWithRefusal(request, {
      kind: "no_room",
      reason: "all usable targets state a limit or want no requests for a time",
      // Another host may be able to send sooner than the default delay.
      retryAfterMs: statedDelayMs === Infinity
        ? undefined
        : Math.ceil(statedDelayMs),
    });
  }

  /**
   * Ends the in-flight attempt and updates the statistics of target, route and
   * version.
   */
  #recordAttemptEnd(request: RequestState, end: AttemptEnd): void {
    const { currentAttempt } = request;
    if (currentAttempt === undefined) return;
    request.currentAttempt = undefined;
    recordAttemptEnd(request, currentAttempt, end, {
      dependencies: this.#dependencies,
      nowMs: this.#nowMs,
    });
  }

  #crashContext(): CrashContext {
    return {
      crashAttribution: this.#state.crashAttribution,
      isTargetPathInDoubt: this.#dependencies.isTargetPathInDoubt(),
      nowMs: this.#nowMs,
    };
  }

  #endAtDeadline(request: RequestState): void {
    const reason = `the deadline passed after ${
      Math.round(this.#nowMs - request.arrivedMs)
    } ms`;
    if (request.hasResponseStarted) {
      this.#abortAttempt(request, "cancelled");
      this.effects.push({
        type: "disconnect_caller",
        requestId: request.requestId,
      });
      return this.#removeRequest(request);
    }
    this.#endWithRefusal(request, { kind: "deadline_not_run", reason });
  }

  /**
   * Starts a connection check of a target that has responded to no request
   * since the attempt started. The attempt continues, as the target may only be
   * slow.
   */
  #checkSilentTarget(
    { currentAttempt, hasResponseStarted }: RequestState,
  ): void {
    if (
      currentAttempt === undefined || hasResponseStarted ||
      currentAttempt.isCheckStarted
    ) {
      return;
    }
    if (!isTargetSilent(currentAttempt, this.#nowMs)) return;
    currentAttempt.isCheckStarted = true;
    const { target } = currentAttempt.handle.state;
    this.effects.push({ type: "check_target", target });
  }

  /** Moves a relayed request when the other host is dead. */
  #checkRelayHost(request: RequestState): void {
    const hostId = request.triedRelayHostIds.at(-1);
    if (hostId === undefined) return;
    if (this.#dependencies.isHostLive(hostId, this.#nowMs)) return;
    this.#moveToOtherTarget(request);
  }

  /**
   * Sends a request to another target when its current target refuses
   * connections. A request that must not run twice keeps waiting, as its
   * response may still arrive on the connection that is already open.
   */
  #moveToOtherTarget(request: RequestState): void {
    const { route, hasResponseStarted, service, maxAttempts } = request;
    if (hasResponseStarted || !route.idempotent) return;
    if (request.countedAttempts >= maxAttempts) return;
    if (!this.#hasOtherTarget(request)) return;
    if (!this.#dependencies.takeRetryToken(service, this.#nowMs)) return;
    request.mayHaveRun = true;
    this.#abortAttempt(request, "cancelled");
    this.#startAttempt(request);
  }

  /** Whether the request can be sent again, to a target or another host. */
  #hasOtherTarget(request: RequestState): boolean {
    const dependencies = this.#dependencies;
    if (dependencies.findUsableTargets(request, this.#nowMs).length > 0) {
      return true;
    }
    return !request.isRelayed && dependencies.isTargetPathLost() &&
      dependencies.chooseRelayHost(request, this.#nowMs) !== undefined;
  }

  /**
   * Ends a request that gets no successful response. The caller receives the
   * target's 5xx response if the last attempt ended with one, else an error
   * response, or is disconnected if part of a response was sent.
   */
  #endWithRefusal(request: RequestState, refusalReason: RefusalReason): void {
    const { requestId, route, service, organisation, countedAttempts } =
      request;
    const isRunning = isInFlight(request);
    if (request.hasFailureResponse && !isRunning) {
      // The target's own response tells the caller more than a refusal.
      this.effects.push({ type: "deliver", requestId });
      return this.#removeRequest(request);
    }
    const mayHaveRun = request.mayHaveRun || isRunning;
    if (isRunning) this.#abortAttempt(request, "cancelled");
    if (request.hasResponseStarted) {
      this.effects.push({ type: "disconnect_caller", requestId });
      return this.#removeRequest(request);
    }
    if (!mayHaveRun && organisation !== undefined && !request.isRelayed) {
      this.#dependencies.refundQuotaToken(organisation.id, this.#nowMs);
    }
    const kind = mayHaveRun
      ? replaceNotRunKind(refusalReason.kind)
      : refusalReason.kind;
    this.#emitRefusal(requestId, { ...refusalReason, kind }, {
      routeId: route.id,
      service,
      organisation: organisation?.id ?? "",
      attempts: countedAttempts,
      heldMs: Math.round(this.#nowMs - request.arrivedMs),
      why: refusalReason.reason,
    });
    this.#removeRequest(request);
  }

  #abortAttempt(request: RequestState, outcome: AttemptOutcome): void {
    if (!isInFlight(request)) return;
    request.isRelayInFlight = false;
    this.effects.push({ type: "abort", requestId: request.requestId });
    this.#recordAttemptEnd(request, { outcome, status: 0 });
  }

  #removeRequest({ requestId }: RequestState): void {
    this.#state.requests.delete(requestId);
  }

  #emitRefusal(
    requestId: number,
    { kind, retryAfterMs }: RefusalReason,
    context: RefusalContext,
  ): void {
    const refusal = createRefusal(kind, this.#dependencies.random, {
      retryAfterMs,
    });
    this.effects.push({ type: "refuse", requestId, refusal, context });
  }
}

function isInFlight(request: RequestState): boolean {
  return request.currentAttempt !== undefined || request.isRelayInFlight;
}
