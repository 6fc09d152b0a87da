/**
 * Targets with what this host knows about each of them.
 *
 * @module
 */
import { hash32 } from "../hash32.ts";
import { ColdStartLimit } from "./cold_start_limit.ts";
import { LoadEstimate } from "./load_estimate.ts";
import { TargetHealth } from "./target_health.ts";
import type { AttemptEnd, Registration, Target } from "./types.ts";
import { WarmKeys } from "./warm_keys.ts";

/** Weight of one answer in the pace of a target. */
const PACE_WEIGHT = 0.15;
/** Bounds of the pace, so that one odd answer decides nothing for long. */
const MIN_PACE = 0.5;
const MAX_PACE = 20;
/** Time in which the pace goes half of the way back to 1 without answers. */
const PACE_FORGET_HALF_MS = 4_000;

/** One target and what this host knows about it. */
export class TargetState {
  target: Target;
  readonly hash: number;
  readonly load: LoadEstimate;
  readonly health = new TargetHealth();
  readonly warmKeys = new WarmKeys();
  readonly coldStartLimit: ColdStartLimit;
  /** Until when the target is cold. */
  coldStartUntilMs: number;
  /** Oldest request in flight that has no answer, by its start. */
  readonly inFlightStarts = new Set<{ readonly atMs: number }>();
  #pace = 1;
  #pacedMs: number;

  constructor(registration: Registration, nowMs: number) {
    this.target = registration;
    this.hash = hash32(registration.id);
    this.load = new LoadEstimate(registration.slots);
    this.coldStartLimit = new ColdStartLimit(nowMs);
    this.coldStartUntilMs = nowMs + registration.coldForMs;
    this.#pacedMs = nowMs;
  }

  /** Whether the target tolerates few requests only. */
  isInColdStart(nowMs: number): boolean {
    return nowMs < this.coldStartUntilMs;
  }

  /** Time that the target needs, relative to what is expected of it. */
  serviceTimeRatio(nowMs: number): number {
    const age = nowMs - this.#pacedMs;
    return 1 + (this.#pace - 1) * 2 ** (-age / PACE_FORGET_HALF_MS);
  }

  /** Notes how an answer's time compares with what was expected. */
  recordServiceTimeRatio(ratio: number, nowMs: number): void {
    const bounded = Math.min(MAX_PACE, Math.max(MIN_PACE, ratio));
    const pace = this.serviceTimeRatio(nowMs);
    this.#pace = pace + PACE_WEIGHT * (bounded - pace);
    this.#pacedMs = nowMs;
  }
}

/** Handle of a request in flight at a target. */
export interface InFlightAttempt {
  readonly state: TargetState;
  readonly start: { readonly atMs: number };
}

/** All known targets. */
export class TargetTable {
  #byId = new Map<string, TargetState>();
  #byService = new Map<string, TargetState[]>();

  /** All targets of a service, draining ones included. */
  ofService(service: string): readonly TargetState[] {
    return this.#byService.get(service) ?? [];
  }

  /** One target, or `undefined`. */
  get(id: string): TargetState | undefined {
    return this.#byId.get(id);
  }

  /** All targets. */
  all(): Iterable<TargetState> {
    return this.#byId.values();
  }

  /** Adds a target or takes over a change of it. */
  put(registration: Registration, nowMs: number): void {
    const known = this.#byId.get(registration.id);
    if (known !== undefined && isSameRun(known.target, registration)) {
      known.target = registration;
      known.coldStartUntilMs = nowMs + registration.coldForMs;
      return;
    }
    this.remove(registration.id);
    const state = new TargetState(registration, nowMs);
    this.#byId.set(registration.id, state);
    const { service } = registration;
    this.#byService.set(service, [...this.ofService(service), state]);
  }

  /** Forgets a target. Requests in flight there end by themselves. */
  remove(id: string): void {
    const state = this.#byId.get(id);
    if (state === undefined) return;
    this.#byId.delete(id);
    const { service } = state.target;
    const rest = this.ofService(service).filter((other) => other !== state);
    if (rest.length === 0) this.#byService.delete(service);
    else this.#byService.set(service, rest);
  }

  /** Counts a request that is sent to a target. */
  beginAttempt(
    state: TargetState,
    keyHash: number | undefined,
    nowMs: number,
  ): InFlightAttempt {
    state.load.inFlight += 1;
    if (keyHash !== undefined) state.warmKeys.add(keyHash, nowMs);
    if (state.isInColdStart(nowMs)) state.coldStartLimit.consumeToken(nowMs);
    if (state.health.needsTrialAttempt) state.health.beginTrialAttempt(nowMs);
    const start = { atMs: nowMs };
    state.inFlightStarts.add(start);
    return { state, start };
  }

  /** Counts the end of a request at a target. */
  endAttempt(
    { state, start }: InFlightAttempt,
    end: AttemptEnd,
    nowMs: number,
  ): void {
    if (!state.inFlightStarts.delete(start)) return;
    state.load.inFlight -= 1;
    state.health.recordOutcome(end.outcome, nowMs);
    if (end.load !== undefined) state.load.recordReport(end.load, nowMs);
    if (end.coldForMs !== undefined && end.coldForMs > 0) {
      state.coldStartUntilMs = Math.max(
        state.coldStartUntilMs,
        nowMs + end.coldForMs,
      );
    }
  }
}

function isSameRun(a: Target, b: Target): boolean {
  return a.startedMs === b.startedMs && a.address === b.address &&
    a.service === b.service;
}
