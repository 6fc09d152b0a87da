/**
 * Decisions that the pipeline is given as functions.
 *
 * @module
 */
import type { AdmissionRefusal } from "../balance/admission.ts";
import type { Candidate } from "../balance/choose_target.ts";
import type { Document, Organisation, Route } from "../document/document.ts";
import type { QuotaAnswer } from "../limits/quotas.ts";
import type { ExpectedServiceTime } from "../targets/service_times.ts";
import type { InFlightAttempt, TargetState } from "../targets/target_table.ts";
import type { AttemptEnd } from "../targets/types.ts";
import type { Random } from "../types.ts";
import type { Obstacle, RequestState } from "./types.ts";

/** What the pipeline asks the rest of the host. */
export interface PipelineParts {
  /** The document in force; `undefined` before the first one. */
  document(): Document | undefined;
  /** Why this host refuses every request now; `undefined` if it does not. */
  refusesAll(nowMs: number): Obstacle | undefined;
  findRoute(host: string, path: string): Route | undefined;
  findOrganisation(keyDigest: string): Organisation | undefined;
  /** Whether the document has organisations, so that routes need keys. */
  needsKeys(): boolean;
  /** Asks for one request within an organisation's rate. */
  admit(organisationId: string, nowMs: number): QuotaAnswer;
  /** Returns the token of a request that did not run. */
  giveBack(organisationId: string, nowMs: number): void;
  pickService(route: Route, objectHash: number): string;
  /** Targets that may take the request, those it has tried excluded. */
  usableTargets(request: RequestState, nowMs: number): readonly TargetState[];
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
  endAttempt(flight: InFlightAttempt, end: AttemptEnd, nowMs: number): void;
  /** Notes that no connection to a target can be made. */
  noteUnreachable(targetId: string, nowMs: number): void;
  /** Notes the end of an attempt for its version. */
  noteVersion(
    request: RequestState,
    state: TargetState,
    options: { bad: boolean },
  ): void;
  expectedTime(route: Route): ExpectedServiceTime;
  noteTime(route: Route, workMs: number, options: { warm: boolean }): void;
  noteAnswerBytes(request: RequestState, bytes: number): void;
  /** Counts a request for a service. */
  noteRequest(service: string, nowMs: number): void;
  /** Counts a repeated send if the retry budget allows it. */
  takeRetry(service: string, nowMs: number): boolean;
  /** Whether requests with a fingerprint are blocked. */
  isBlocked(fingerprint: string): boolean;
  /** Why an expected wait is too long for the request; `undefined` if not. */
  findLateness(
    request: RequestState,
    candidate: Candidate,
    nowMs: number,
  ): AdmissionRefusal | undefined;
  readonly random: Random;
}
