/**
 * Table of the registered targets, with the state that this host keeps of each
 * of them: load, health, cached objects, cold start and in-flight attempts.
 *
 * @module
 */
import { hash32 } from "../hash32.ts";
import { ColdStartLimit } from "./cold_start_limit.ts";
import { LoadEstimate } from "./load_estimate.ts";
import { LeavingTargets, type TargetInstance } from "./leaving_targets.ts";
import {
  type AvailabilityStatement,
  StatedAvailability,
} from "./stated_availability.ts";
import { PaceEstimate } from "./pace.ts";
import { StatedLimit } from "./stated_limit.ts";
import { TargetHealth } from "./target_health.ts";
import type { TargetObservation } from "./target_observation.ts";
import type { AttemptEnd, LoadReport, Registration, Target } from "./types.ts";
import { WarmKeys } from "./warm_keys.ts";

/** EWMA weight of one response in the service time ratio. */
const SERVICE_TIME_RATIO_WEIGHT = 0.15;
/** Bounds of one observed ratio, which limit the effect of an outlier. */
const MIN_SERVICE_TIME_RATIO = 0.5;
const MAX_SERVICE_TIME_RATIO = 20;
/** Half-life of the ratio's deviation from 1 while there are no responses. */
const SERVICE_TIME_RATIO_HALF_LIFE_MS = 4_000;

/** State that this host keeps of one target. */
export class TargetState {
  target: Target;
  /** Hash of the target's identifier. */
  readonly hash: number;
  readonly load: LoadEstimate;
  readonly pace = new PaceEstimate();
  /** What the target reported in its last response to this host. */
  latestReport: LoadReport | undefined;
  readonly health = new TargetHealth();
  readonly warmKeys = new WarmKeys();
  readonly coldStartLimit: ColdStartLimit;
  readonly statedLimit = new StatedLimit();
  readonly availability = new StatedAvailability();
  /** Time at which the cold start of the target ends. */
  coldStartUntilMs: number;
  /** Starts of the in-flight attempts, oldest first. */
  readonly inFlightStarts = new Set<{ readonly atMs: number }>();
  #serviceTimeRatio = 1;
  #ratioUpdatedMs: number;

  constructor(registration: Registration, nowMs: number) {
    this.target = registration;
    this.hash = hash32(registration.id);
    this.load = new LoadEstimate(registration.slots);
    this.coldStartLimit = new ColdStartLimit(nowMs);
    this.coldStartUntilMs = nowMs + registration.coldForMs;
    this.#ratioUpdatedMs = nowMs;
  }

  /** Whether the target has just started and tolerates few requests. */
  isInColdStart(nowMs: number): boolean {
    return nowMs < this.coldStartUntilMs;
  }

  /**
   * Service time of the target at the usual pace of its machine, relative to the
   * expected one.
   */
  serviceTimeRatio(nowMs: number): number {
    const ageMs = nowMs - this.#ratioUpdatedMs;
    return 1 +
      (this.#serviceTimeRatio - 1) *
        2 ** (-ageMs / SERVICE_TIME_RATIO_HALF_LIFE_MS);
  }

  /** Records what the target reports of its load in a response. */
  recordLoad(report: LoadReport, nowMs: number): void {
    this.latestReport = report;
    this.load.recordReport(report, nowMs);
    if (report.pacePercent !== undefined) {
      this.pace.recordStatement(report.pacePercent, nowMs);
    }
  }

  /**
   * Records what the target reported to another host. Returns false if it is
   * older than what is known.
   */
  recordObservation(
    { running, waiting, pacePercent }: TargetObservation,
    observedMs: number,
  ): boolean {
    let ownRequests = 0;
    for (const { atMs } of this.inFlightStarts) {
      if (atMs <= observedMs) ownRequests += 1;
    }
    if (pacePercent > 0) this.pace.recordObservation(pacePercent, observedMs);
    return this.load.recordObservation(
      { running, waiting },
      ownRequests,
      observedMs,
    );
  }

  /**
   * Records a ratio of observed to expected service time, freed of the pace of
   * the target's machine.
   */
  recordServiceTimeRatio(ratio: number, nowMs: number): void {
    const bounded = Math.min(
      MAX_SERVICE_TIME_RATIO,
      Math.max(MIN_SERVICE_TIME_RATIO, ratio),
    );
    const mean = this.serviceTimeRatio(nowMs);
    this.#serviceTimeRatio = mean +
      SERVICE_TIME_RATIO_WEIGHT * (bounded - mean);
    this.#ratioUpdatedMs = nowMs;
  }
}

/** Handle of an in-flight attempt, which `endAttempt` accepts once. */
export interface InFlightAttempt {
  readonly state: TargetState;
  readonly start: { readonly atMs: number };
}

/** Targets of a service. */
interface ServiceTargets {
  readonly states: Set<TargetState>;
  /**
   * The same as a list; `undefined` after a change. A list that is copied with
   * each change would take time with the square of the number of targets.
   */
  list: readonly TargetState[] | undefined;
}

/** Registered targets by identifier and by service. */
export class TargetTable {
  #byId = new Map<string, TargetState>();
  #byHash = new Map<number, TargetState>();
  #byService = new Map<string, ServiceTargets>();
  readonly #leaving = new LeavingTargets();
  readonly #returnSpread: () => number;

  /**
   * @param options `returnSpread` returns a number from 0 to 1 that spreads the
   * return of the hosts to a target that wanted no requests. Default: 0.
   */
  constructor(
    { returnSpread = () => 0 }: { returnSpread?: () => number } = {},
  ) {
    this.#returnSpread = returnSpread;
  }

  /** Returns the targets of a service, including draining ones. */
  ofService(service: string): readonly TargetState[] {
    const targets = this.#byService.get(service);
    if (targets === undefined) return [];
    return targets.list ??= [...targets.states];
  }

  get(id: string): TargetState | undefined {
    return this.#byId.get(id);
  }

  /** Returns the target whose identifier has a hash. */
  getByHash(hash: number): TargetState | undefined {
    return this.#byHash.get(hash);
  }

  all(): Iterable<TargetState> {
    return this.#byId.values();
  }

  /**
   * Adds a target or updates its registration. A target that has restarted
   * gets a new state.
   */
  put(registration: Registration, nowMs: number): void {
    const existing = this.#byId.get(registration.id);
    if (
      existing !== undefined && isSameInstance(existing.target, registration)
    ) {
      existing.target = registration;
      existing.coldStartUntilMs = nowMs + registration.coldForMs;
      return;
    }
    this.remove(registration.id);
    const state = new TargetState(registration, nowMs);
    if (this.#leaving.has(instanceOf(registration))) {
      state.availability.recordLeaving();
    }
    this.#byId.set(registration.id, state);
    this.#byHash.set(state.hash, state);
    const { service } = registration;
    let targets = this.#byService.get(service);
    if (targets === undefined) {
      targets = { states: new Set(), list: undefined };
      this.#byService.set(service, targets);
    }
    targets.states.add(state);
    targets.list = undefined;
  }

  /** Removes a target. Its in-flight attempts are not aborted. */
  remove(id: string): void {
    const state = this.#byId.get(id);
    if (state === undefined) return;
    this.#byId.delete(id);
    this.#byHash.delete(state.hash);
    const { service } = state.target;
    const targets = this.#byService.get(service);
    if (targets === undefined) return;
    targets.states.delete(state);
    targets.list = undefined;
    if (targets.states.size === 0) this.#byService.delete(service);
  }

  /** Forgets connection failures, as this host could not reach any target. */
  forgetFailedConnections(): void {
    for (const { health } of this.#byId.values()) {
      health.forgetFailedConnections();
    }
  }

  /** Records what a target states of its availability in a response. */
  recordStatement(
    { target, availability }: TargetState,
    statement: AvailabilityStatement,
    nowMs: number,
  ): void {
    availability.recordStatement(statement, this.#returnSpread(), nowMs);
    if (statement.isLeaving) this.#leaving.record(instanceOf(target), nowMs);
  }

  /**
   * Records an instance that has told another host that it is leaving. Returns
   * whether that was new to this host.
   */
  recordLeaving(instance: TargetInstance, nowMs: number): boolean {
    if (!this.#leaving.record(instance, nowMs)) return false;
    const state = this.#byId.get(instance.targetId);
    if (state?.target.startedMs === instance.startedMs) {
      state.availability.recordLeaving();
    }
    return true;
  }

  /** Reports all leaving instances again, as a host has lost its state. */
  repeatLeavingReports(nowMs: number): void {
    this.#leaving.repeatReports(nowMs);
  }

  /** Returns the leaving instances that the store still lists as ready. */
  createLeavingReport(nowMs: number): TargetInstance[] {
    return this.#leaving.createReport(({ targetId, startedMs }) => {
      const target = this.#byId.get(targetId)?.target;
      return target?.startedMs === startedMs && !target.isDraining;
    }, nowMs);
  }

  /**
   * Records the start of an attempt on a target.
   *
   * @param keyHash Hash of the object; `undefined` without affinity.
   */
  beginAttempt(
    state: TargetState,
    keyHash: number | undefined,
    nowMs: number,
  ): InFlightAttempt {
    state.load.inFlightAttempts += 1;
    if (keyHash !== undefined) state.warmKeys.add(keyHash, nowMs);
    if (state.isInColdStart(nowMs)) state.coldStartLimit.takeToken(nowMs);
    state.statedLimit.takeToken(nowMs);
    state.availability.recordStart(nowMs);
    if (state.health.needsTrialAttempt) state.health.beginTrialAttempt(nowMs);
    const start = { atMs: nowMs };
    state.inFlightStarts.add(start);
    return { state, start };
  }

  /** Records the end of an attempt. A second end of it has no effect. */
  endAttempt(
    { state, start }: InFlightAttempt,
    end: AttemptEnd,
    nowMs: number,
  ): void {
    if (!state.inFlightStarts.delete(start)) return;
    state.load.inFlightAttempts -= 1;
    if (end.outcome === "shed" && state.availability.isRefusing(nowMs)) {
      // The target has stated until when it refuses, which is no failure.
      state.health.recordResponse(nowMs);
    } else state.health.recordOutcome(end.outcome, nowMs);
    state.availability.recordEnd(end.outcome, nowMs);
    if (end.load !== undefined) state.recordLoad(end.load, nowMs);
    if (statesLimit(end)) {
      state.statedLimit.recordResponse(end.limitPerS, nowMs);
    }
    if (end.coldForMs !== undefined && end.coldForMs > 0) {
      state.coldStartUntilMs = Math.max(
        state.coldStartUntilMs,
        nowMs + end.coldForMs,
      );
    }
  }
}

/** Returns the instance that a registration describes. */
function instanceOf({ id, startedMs }: Target): TargetInstance {
  return { targetId: id, startedMs };
}

/**
 * Whether an attempt ended with a response of its target that states a limit or
 * its end. A failure without a limit states neither, as a target in need may
 * omit it there.
 */
function statesLimit({ outcome, limitPerS }: AttemptEnd): boolean {
  if (outcome === "answered") return true;
  return limitPerS !== undefined &&
    (outcome === "failed" || outcome === "shed");
}

function isSameInstance(a: Target, b: Target): boolean {
  return a.startedMs === b.startedMs && a.address === b.address &&
    a.service === b.service;
}
