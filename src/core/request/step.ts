/**
 * One application of an event to the requests of a host.
 *
 * @module
 */
import { kindAfterSend, refusalFor } from "../errors.ts";
import type { CrashVerdict } from "../crashes/crash_attribution.ts";
import type { AttemptEnd, AttemptOutcome } from "../targets/types.ts";
import { checkArrival } from "./arrival.ts";
import { provesNotRun } from "./outcomes.ts";
import type { PipelineParts } from "./parts.ts";
import type { PipelineState } from "./pipeline.ts";
import type {
  Arrival,
  CurrentAttempt,
  Obstacle,
  RefusalContext,
  RequestEffect,
  RequestEvent,
  RequestState,
} from "./types.ts";

type AttemptEndedEvent = Extract<RequestEvent, { type: "attempt_ended" }>;
type BodyReadyEvent = Extract<RequestEvent, { type: "body_ready" }>;

/** Sends that may reach no target besides those that count as attempts. */
const MAX_UNCOUNTED_SENDS = 4;
/** Time after which a request that was shed is worth another attempt. */
const SHED_RETRY_MS = 60;
/** An answer is bad for its version beyond this many cold times. */
const SLOW_COLD_TIMES = 2;
/** Shortest time without an answer after which a target is checked. */
const MIN_SILENT_MS = 600;
/** A target is checked after this many expected times. */
const SILENT_EXPECTED_TIMES = 4;

/** Applies an event and collects the effects. */
export class Step {
  readonly effects: RequestEffect[] = [];
  #state: PipelineState;
  #nowMs: number;
  #parts: PipelineParts;

  constructor(state: PipelineState, nowMs: number, parts: PipelineParts) {
    this.#state = state;
    this.#nowMs = nowMs;
    this.#parts = parts;
  }

  arrive(arrival: Arrival): void {
    const result = checkArrival(arrival, this.#parts, this.#nowMs);
    if ("request" in result) {
      const { request } = result;
      this.#state.requests.set(request.requestId, request);
      this.#parts.noteRequest(request.service, this.#nowMs);
      return;
    }
    const { obstacle, route, organisation } = result;
    this.#pushRefusal(arrival.requestId, obstacle, {
      routeId: route?.id ?? "",
      service: "",
      organisation: organisation?.id ?? "",
      attempts: 0,
      heldMs: 0,
      why: obstacle.why,
    });
  }

  startBody({ requestId, bytes, contentHash }: BodyReadyEvent): void {
    const request = this.#state.requests.get(requestId);
    if (request === undefined || request.phase !== "reading") return;
    const { route, organisation } = request;
    request.fingerprint = `${route.id}/${
      organisation?.id ?? ""
    }/${contentHash}`;
    request.bodyBytes = Math.max(request.bodyBytes, bytes);
    this.#dispatch(request);
  }

  refuseBody(requestId: number): void {
    const request = this.#state.requests.get(requestId);
    if (request === undefined) return;
    this.#end(request, {
      kind: "body_too_large",
      why: "the body is too large",
    });
  }

  endAttempt(event: AttemptEndedEvent): void {
    const request = this.#state.requests.get(event.requestId);
    const current = request?.current;
    if (request === undefined || current === undefined) return;
    const { end, sent, answerBytes } = event;
    const { outcome } = end;
    this.#finishAttempt(request, end);
    if (!provesNotRun(outcome, sent)) request.mayHaveRun = true;
    this.#assignBlame(request, current, end);
    if (outcome === "answered") {
      this.#parts.noteAnswerBytes(request, answerBytes);
      this.effects.push({ type: "deliver", requestId: request.requestId });
      return this.#forget(request);
    }
    if (request.answerStarted) {
      this.effects.push({ type: "break", requestId: request.requestId });
      return this.#forget(request);
    }
    request.hasFailure = outcome === "failed";
    if (this.#mayRetry(request, event)) return this.#dispatch(request);
    this.#end(request, {
      kind: request.mayHaveRun ? "target_failed" : "no_room",
      why: `the last attempt ended as ${outcome}`,
      // A target that sheds may have room again at once.
      retryAfterMs: outcome === "shed" ? SHED_RETRY_MS : undefined,
    });
  }

  /** A connection to a target was refused. */
  noteRefused(targetId: string): void {
    const { blame } = this.#state;
    this.#publish(
      targetId,
      blame.recordRefusedConnection(targetId, this.#nowMs),
    );
    this.#parts.noteUnreachable(targetId, this.#nowMs);
    for (const request of [...this.#state.requests.values()]) {
      if (request.current?.flight.state.target.id === targetId) {
        this.#sendElsewhere(request);
      }
    }
  }

  dropCaller(requestId: number): void {
    const request = this.#state.requests.get(requestId);
    if (request === undefined) return;
    this.#abort(request, "cancelled");
    this.#forget(request);
  }

  /** Ends requests at their deadlines and notices silent targets. */
  expire(): void {
    for (const request of [...this.#state.requests.values()]) {
      if (request.deadlineMs <= this.#nowMs) this.#endAtDeadline(request);
      else if (request.current !== undefined) this.#noticeSilence(request);
    }
  }

  #dispatch(request: RequestState): void {
    const { fingerprint } = request;
    if (this.#parts.isBlocked(fingerprint)) {
      const why = "requests like this one crashed targets";
      return this.#end(request, { kind: "request_blocked", why });
    }
    const usable = this.#parts.usableTargets(request, this.#nowMs);
    const candidate = this.#parts.chooseTarget(usable, request, this.#nowMs);
    if (candidate === undefined) {
      const why = `no usable target of ${request.service}`;
      return this.#end(request, { kind: "no_target", why });
    }
    const late = this.#parts.findLateness(request, candidate, this.#nowMs);
    if (late !== undefined) {
      return this.#end(request, {
        kind: "no_room",
        why: late.reason,
        retryAfterMs: late.retryAfterMs,
      });
    }
    const {
      state,
      holderRank: rank,
      isWarm: warm,
      queueWaitMs: waitMs,
      expectedResponseMs: expectedMs,
    } = candidate;
    const { lastReportMs: reportedMs } = state.load;
    const { keyHash } = request;
    request.phase = "running";
    request.attempts += 1;
    request.tried.push(state.target.id);
    request.current = {
      knownWarm: keyHash !== undefined && state.warmKeys.has(keyHash),
      flight: this.#parts.beginAttempt(request, state, this.#nowMs),
      candidate,
      startedMs: this.#nowMs,
      checked: false,
    };
    this.effects.push({
      type: "send",
      requestId: request.requestId,
      target: state.target,
      route: request.route,
      organisation: request.organisation?.id ?? "",
      remainingMs: request.deadlineMs - this.#nowMs,
      decision: {
        attempt: request.tried.length,
        rank,
        warm,
        waitMs: Math.round(waitMs),
        expectedMs: Math.round(expectedMs),
        usable: usable.length,
        loadAgeMs: reportedMs === -Infinity
          ? -1
          : Math.round(this.#nowMs - reportedMs),
      },
    });
  }

  #mayRetry(request: RequestState, event: AttemptEndedEvent): boolean {
    const { route, tried } = request;
    const { outcome } = event.end;
    if (!event.canResend || request.deadlineMs <= this.#nowMs) return false;
    const proven = provesNotRun(outcome, event.sent);
    if (!proven && !route.idempotent) return false;
    // A target that was not reached, or is another one, took no attempt.
    if (!event.sent || outcome === "misdirected") request.attempts -= 1;
    if (request.attempts >= route.maxAttempts) return false;
    if (tried.length >= route.maxAttempts + MAX_UNCOUNTED_SENDS) return false;
    return !event.sent || this.#parts.takeRetry(request.service, this.#nowMs);
  }

  /** Takes what the end of an attempt tells about target and version. */
  #finishAttempt(request: RequestState, end: AttemptEnd): void {
    const { current, route } = request;
    if (current === undefined) return;
    request.current = undefined;
    const { flight, candidate, startedMs, knownWarm } = current;
    const { state } = flight;
    const tookMs = this.#nowMs - startedMs;
    const expected = this.#parts.expectedTime(route);
    this.#parts.endAttempt(flight, end, this.#nowMs);
    const slow =
      tookMs > SLOW_COLD_TIMES * expected.coldMs + candidate.queueWaitMs;
    const { outcome } = end;
    if (outcome === "answered") {
      const { isWarm: warm, queueWaitMs: waitMs, roundTripMs } = candidate;
      const workMs = Math.max(1, tookMs - waitMs - roundTripMs);
      const baseMs = warm ? expected.warmMs : expected.coldMs;
      state.recordServiceTimeRatio(workMs / baseMs, this.#nowMs);
      if (!warm || knownWarm || request.keyHash === undefined) {
        this.#parts.noteTime(route, workMs, { warm });
      }
    }
    // A lost connection says more of target or network than of the version.
    const bad = outcome === "failed" || slow;
    if (bad || outcome === "answered") {
      this.#parts.noteVersion(request, state, { bad });
    }
  }

  #assignBlame(
    { fingerprint }: RequestState,
    { flight }: CurrentAttempt,
    { outcome }: AttemptEnd,
  ): void {
    const { target } = flight.state;
    const { id, version } = target;
    const { blame } = this.#state;
    if (outcome === "broken") {
      const request = { fingerprint, version };
      this.#publish(id, blame.recordBrokenAttempt(id, request, this.#nowMs));
      this.effects.push({ type: "check_target", target });
    } else if (outcome === "unreachable") {
      this.#publish(id, blame.recordRefusedConnection(id, this.#nowMs));
    } else if (outcome === "answered") {
      blame.recordResponse(fingerprint, version);
    }
  }

  #publish(targetId: string, { blocked, suspected }: CrashVerdict): void {
    for (const fingerprint of blocked) {
      this.effects.push({ type: "block", fingerprint });
    }
    for (const fingerprint of suspected) {
      this.effects.push({ type: "suspect", fingerprint, targetId });
    }
  }

  #endAtDeadline(request: RequestState): void {
    const why = `${Math.round(this.#nowMs - request.arrivedMs)} ms were over`;
    if (request.answerStarted) {
      this.#abort(request, "cancelled");
      this.effects.push({ type: "break", requestId: request.requestId });
      return this.#forget(request);
    }
    this.#end(request, { kind: "deadline_not_run", why });
  }

  /**
   * Notices that a target does not answer. Silence alone ends nothing: a
   * connection trial tells whether the target is there at all.
   */
  #noticeSilence({ current, answerStarted }: RequestState): void {
    if (current === undefined || answerStarted || current.checked) return;
    const { candidate, startedMs, flight } = current;
    const limitMs = Math.max(
      MIN_SILENT_MS,
      SILENT_EXPECTED_TIMES * candidate.expectedResponseMs,
    );
    if (this.#nowMs - startedMs < limitMs) return;
    const { health, target } = flight.state;
    if (health.lastResponseMs >= startedMs) return;
    current.checked = true;
    this.effects.push({ type: "check_target", target });
  }

  /**
   * Sends a request to another target, as its target can't be reached any
   * more. One that must not run twice waits, as its answer may still come.
   */
  #sendElsewhere(request: RequestState): void {
    const { route, answerStarted, service } = request;
    if (answerStarted || !route.idempotent) return;
    if (request.attempts >= route.maxAttempts) return;
    if (this.#parts.usableTargets(request, this.#nowMs).length === 0) return;
    if (!this.#parts.takeRetry(service, this.#nowMs)) return;
    request.mayHaveRun = true;
    this.#abort(request, "cancelled");
    this.#dispatch(request);
  }

  /** Refuses a request in progress and ends it. */
  #end(request: RequestState, obstacle: Obstacle): void {
    const { requestId, route, service, organisation, attempts } = request;
    const running = request.current !== undefined;
    if (request.hasFailure && !running) {
      // The target's own failure says more than a refusal.
      this.effects.push({ type: "deliver", requestId });
      return this.#forget(request);
    }
    const ran = request.mayHaveRun || running;
    if (running) this.#abort(request, "cancelled");
    if (request.answerStarted) {
      this.effects.push({ type: "break", requestId });
      return this.#forget(request);
    }
    if (!ran && organisation !== undefined) {
      this.#parts.giveBack(organisation.id, this.#nowMs);
    }
    const kind = ran ? kindAfterSend(obstacle.kind) : obstacle.kind;
    this.#pushRefusal(requestId, { ...obstacle, kind }, {
      routeId: route.id,
      service,
      organisation: organisation?.id ?? "",
      attempts,
      heldMs: Math.round(this.#nowMs - request.arrivedMs),
      why: obstacle.why,
    });
    this.#forget(request);
  }

  #abort(request: RequestState, outcome: AttemptOutcome): void {
    if (request.current === undefined) return;
    this.effects.push({ type: "abort", requestId: request.requestId });
    this.#finishAttempt(request, { outcome, status: 0 });
  }

  #forget({ requestId }: RequestState): void {
    this.#state.requests.delete(requestId);
  }

  #pushRefusal(
    requestId: number,
    { kind, retryAfterMs }: Obstacle,
    about: RefusalContext,
  ): void {
    const refusal = refusalFor(kind, this.#parts.random, { retryAfterMs });
    this.effects.push({ type: "refuse", requestId, refusal, about });
  }
}
