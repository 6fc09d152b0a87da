/**
 * Functions through which the request pipeline uses other parts of the core.
 * The shell connects them; tests replace them one by one.
 *
 * @module
 */
import type { AdmissionRefusal } from "../balance/admission.ts";
import type { Candidate } from "../balance/choose_target.ts";
import type { Document, Organisation, Route } from "../document/document.ts";
import type { QuotaDecision } from "../limits/quotas.ts";
import type { HoldDecision } from "../queue/hold_decision.ts";
import type { HostAddress } from "../membership/types.ts";
import type { ExpectedServiceTime } from "../targets/service_times.ts";
import type { AvailabilityStatement } from "../targets/stated_availability.ts";
import type { InFlightAttempt, TargetState } from "../targets/target_table.ts";
import type { AttemptEnd } from "../targets/types.ts";
import type { Random } from "../types.ts";
import type { UsageCounter } from "../usage/usage_counter.ts";
import type { RefusalReason, RequestState } from "./types.ts";

/**
 * Functions that the request reducer calls; they perform no input or output.
 */
export interface PipelineDependencies {
  /** Returns the current document; `undefined` before the first one. */
  document(): Document | undefined;
  /** Returns why the host refuses all requests; `undefined` if it does not. */
  findHostRefusal(nowMs: number): RefusalReason | undefined;
  /** Time by which all requests must have ended; Infinity without one. */
  latestDeadlineMs(): number;
  findRoute(host: string, path: string): Route | undefined;
  findOrganisation(keyDigest: string): Organisation | undefined;
  /**
   * Whether requests on routes that are not open need an API key. They do
   * unless the document has no organisations.
   */
  needsKeys(): boolean;
  /** Takes a token for one request from the organisation's quota. */
  takeQuotaToken(organisationId: string, nowMs: number): QuotaDecision;
  /** Refunds the token of a request that did not run. */
  refundQuotaToken(organisationId: string, nowMs: number): void;
  /**
   * Picks a service from the route's traffic split.
   *
   * @param affinityHash Hash of the affinity key, or a random 32-bit number.
   */
  pickService(route: Route, affinityHash: number): string;
  /** Returns targets that accept the request and have not been tried for it. */
  findUsableTargets(
    request: RequestState,
    nowMs: number,
  ): readonly TargetState[];
  /**
   * Returns the time until a target may receive the request that states a limit
   * or wants no requests for a time; Infinity while only other hosts may send to
   * it, and `undefined` if there is no such target.
   */
  findStatedDelayMs(request: RequestState, nowMs: number): number | undefined;
  chooseTarget(
    usable: readonly TargetState[],
    request: RequestState,
    nowMs: number,
  ): Candidate | undefined;
  beginAttempt(
    request: RequestState,
    state: TargetState,
    nowMs: number,
  ): InFlightAttempt;
  endAttempt(handle: InFlightAttempt, end: AttemptEnd, nowMs: number): void;
  /** Counts attempts for the usage reports; absent if usage is not reported. */
  readonly usageCounter?: Pick<UsageCounter, "start" | "end">;
  /** Records what the target of an attempt states of its availability. */
  recordStatement(
    handle: InFlightAttempt,
    statement: AvailabilityStatement,
    nowMs: number,
  ): void;
  /** Records that a connection to a target could not be established. */
  recordUnreachable(targetId: string, nowMs: number): void;
  /** Records a good or bad result for the version of a target. */
  recordVersionResult(
    request: RequestState,
    state: TargetState,
    options: { isBad: boolean },
  ): void;
  /** Returns the expected service times of a route. */
  estimateServiceTime(route: Route): ExpectedServiceTime;
  /** Records a measured service time of a route, in milliseconds. */
  recordServiceTime(
    route: Route,
    serviceTimeMs: number,
    options: { isWarm: boolean },
  ): void;
  /** Records the length of a response body. */
  recordResponseBytes(request: RequestState, bytes: number): void;
  /**
   * Counts a request; the retry budget of a service grows with its requests.
   */
  addToRetryBudget(service: string, nowMs: number): void;
  /** Takes a token from the service's retry budget; false if there is none. */
  takeRetryToken(service: string, nowMs: number): boolean;
  /**
   * Whether requests with this fingerprint are blocked, as they crash targets.
   */
  isBlocked(fingerprint: string): boolean;
  /**
   * Returns why the expected time on the best target is too long; `undefined`
   * if the request is admitted.
   */
  checkAdmission(
    request: RequestState,
    candidate: Candidate,
    nowMs: number,
  ): AdmissionRefusal | undefined;
  /**
   * Decides whether a request that was admitted is sent to the best target now
   * or held until a target has a free slot.
   */
  decideHold(
    request: RequestState,
    candidate: Candidate,
    nowMs: number,
  ): HoldDecision;
  /** Whether this host reaches no target. */
  isTargetPathLost(): boolean;
  /**
   * Whether connections to several targets failed and none has been established
   * since, so that the path may be lost.
   */
  isTargetPathInDoubt(): boolean;
  /** Returns a host that reaches targets and may serve the request. */
  chooseRelayHost(
    request: RequestState,
    nowMs: number,
  ): HostAddress | undefined;
  /** Whether another host is alive, as far as its reports tell. */
  isHostLive(hostId: string, nowMs: number): boolean;
  readonly random: Random;
}
