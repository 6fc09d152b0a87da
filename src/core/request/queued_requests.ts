/**
 * Requests that the pipeline holds until a target has a free slot: which are
 * added, which are decided again after an event, and how a hold ends. The queue
 * decides on their order, `decideHold` on each of them.
 *
 * @module
 */
import type { Candidate } from "../balance/choose_target.ts";
import { QUEUE_BOUNDS } from "../queue/hold_decision.ts";
import type { QueuedRequest } from "../queue/types.ts";
import { recheckHeldRequest } from "./arrival.ts";
import type { PipelineDependencies } from "./dependencies.ts";
import type { PipelineState } from "./pipeline.ts";
import type {
  HoldOutcome,
  RefusalReason,
  RequestEffect,
  RequestState,
} from "./types.ts";

/**
 * Held requests of a service that are decided again after one event. Few slots
 * become free at once, and each decision compares all targets of the service.
 */
const MAX_DECISIONS_PER_EVENT = 32;

/** What the queued requests need of the transition that they are part of. */
export interface QueuedRequestsOptions {
  readonly state: PipelineState;
  readonly dependencies: PipelineDependencies;
  readonly nowMs: number;
  readonly emit: (effect: RequestEffect) => void;
  /** Sends a request, holds it or refuses it. */
  readonly decide: (request: RequestState) => void;
  readonly refuse: (request: RequestState, reason: RefusalReason) => void;
}

/** Holds requests and decides on them again. */
export class QueuedRequests {
  readonly #options: QueuedRequestsOptions;

  constructor(options: QueuedRequestsOptions) {
    this.#options = options;
  }

  /**
   * Holds an admitted request, or refuses it if this host may stop before its
   * response. Returns false if it is to be sent now.
   */
  holdsBack(request: RequestState, candidate: Candidate): boolean {
    const { dependencies, nowMs, refuse } = this.#options;
    const exitsAtMs = dependencies.latestDeadlineMs();
    if (
      request.phase === "queued" &&
      nowMs + candidate.expectedResponseMs > exitsAtMs
    ) {
      const reason = "this host may stop before the response";
      refuse(request, { kind: "host_leaving", reason });
      return true;
    }
    if (exitsAtMs !== Infinity || !this.#mayHold(request)) return false;
    const decision = dependencies.decideHold(request, candidate, nowMs);
    if (decision.type === "send") return false;
    this.#hold(request, candidate, decision.untilMs);
    return true;
  }

  /**
   * Whether a request may be held: it has not been sent before and was not held
   * for the longest time.
   */
  #mayHold({ requestId, phase, countedAttempts }: RequestState): boolean {
    const { state, nowMs } = this.#options;
    const queuedMs = state.queue.get(requestId)?.queuedMs ?? nowMs;
    return phase !== "running" && countedAttempts === 0 &&
      nowMs < queuedMs + QUEUE_BOUNDS.maxWaitMs;
  }

  /** Holds a request until a time, or refuses it if the queue is full. */
  #hold(request: RequestState, candidate: Candidate, untilMs: number): void {
    const { state, nowMs, emit } = this.#options;
    const { requestId, route, service } = request;
    const queued = state.queue.get(requestId);
    if (queued !== undefined) {
      queued.untilMs = untilMs;
      return;
    }
    const entry = this.#createEntry(request, untilMs);
    const { isAdded, displaced } = state.queue.add(entry);
    if (displaced !== undefined) {
      const loser = state.requests.get(displaced.requestId);
      this.#emitEnd(displaced, "displaced");
      if (loser !== undefined) this.#refuseForFullQueue(loser, displaced);
    }
    if (!isAdded) return this.#refuseForFullQueue(request, entry);
    request.phase = "queued";
    const { state: { target, load }, queueWaitMs } = candidate;
    emit({
      type: "hold",
      requestId,
      service,
      routeId: route.id,
      priority: entry.priority,
      targetId: target.id,
      waitMs: Math.round(queueWaitMs),
      loadAgeMs: load.lastKnownMs === -Infinity
        ? -1
        : Math.round(nowMs - load.lastKnownMs),
      forMs: Math.round(untilMs - nowMs),
      queueLength: state.queue.lengths().get(service) ?? 0,
    });
  }

  /** Ends the hold of a request, if it is held. */
  endHold(request: RequestState, outcome: HoldOutcome): void {
    const { state } = this.#options;
    const queued = outcome === "sent"
      ? state.queue.start(request.requestId)
      : state.queue.remove(request.requestId);
    if (queued !== undefined) this.#emitEnd(queued, outcome);
  }

  /**
   * Decides again on held requests of a service, in their order: the first
   * ones, and those whose time has come.
   *
   * @param options `maxPriority` omits those that are less urgent.
   */
  decideAgain(
    service: string,
    { maxPriority = Infinity }: { maxPriority?: number } = {},
  ): void {
    const { state, nowMs, decide, dependencies } = this.#options;
    if (!state.queue.hasRequests(service)) return;
    const order = state.queue.order(service, nowMs)
      .filter(({ priority }) => priority <= maxPriority);
    for (const [index, { requestId, untilMs }] of order.entries()) {
      if (index >= MAX_DECISIONS_PER_EVENT && untilMs > nowMs) continue;
      const request = state.requests.get(requestId);
      // A decision on an earlier one may have ended this one.
      if (request === undefined || request.phase !== "queued") continue;
      const result = recheckHeldRequest(request, dependencies, nowMs);
      if ("refusalReason" in result) {
        this.#options.refuse(request, result.refusalReason);
        continue;
      }
      if (result.request !== request) {
        this.#replace(request, result.request);
      }
      decide(result.request);
    }
  }

  /** Decides again on the held requests of all services. */
  decideAllAgain(): void {
    for (const service of this.#options.state.queue.services()) {
      this.decideAgain(service);
    }
  }

  /** Puts a request in the place of one whose route or key has changed. */
  #replace(request: RequestState, replacement: RequestState): void {
    const { state, nowMs } = this.#options;
    const queued = state.queue.remove(request.requestId);
    state.requests.set(request.requestId, replacement);
    state.queue.add({
      ...this.#createEntry(replacement, nowMs),
      queuedMs: queued?.queuedMs ?? nowMs,
    });
  }

  #createEntry(
    { requestId, service, route, organisation, ...request }: RequestState,
    untilMs: number,
  ): QueuedRequest {
    const { dependencies, nowMs } = this.#options;
    return {
      requestId,
      service,
      routeId: route.id,
      organisationId: organisation?.id ?? "",
      priority: priorityOf({ route, organisation }),
      queuedMs: nowMs,
      objectiveAtMs: request.arrivedMs + (route.objectiveMs || Infinity),
      deadlineMs: request.deadlineMs,
      serviceTimeMs: dependencies.estimateServiceTime(route).warmMs,
      bodyBytes: request.bodyBytes,
      untilMs: Math.min(untilMs, nowMs + QUEUE_BOUNDS.maxWaitMs),
    };
  }

  #refuseForFullQueue(
    request: RequestState,
    { serviceTimeMs }: Pick<QueuedRequest, "serviceTimeMs">,
  ): void {
    this.#options.refuse(request, {
      kind: "no_room",
      reason: "the queue of this host is full",
      // By then, targets have started the requests that are next.
      retryAfterMs: Math.ceil(serviceTimeMs),
    });
  }

  #emitEnd(
    { requestId, service, routeId, queuedMs }: QueuedRequest,
    outcome: HoldOutcome,
  ): void {
    const { emit, nowMs } = this.#options;
    emit({
      type: "hold_ended",
      requestId,
      service,
      routeId,
      heldMs: Math.round(nowMs - queuedMs),
      outcome,
    });
  }
}

/** Returns the priority of a request; 0 is the most urgent. */
export function priorityOf(
  { route, organisation }: Pick<RequestState, "route" | "organisation">,
): number {
  return organisation?.priority ?? route.priority;
}
