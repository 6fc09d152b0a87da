/**
 * Events, effects and state of the request pipeline.
 *
 * @module
 */
import type { Candidate } from "../balance/choose_target.ts";
import type { Organisation, Route } from "../document/document.ts";
import type { ErrorKind, Refusal } from "../errors.ts";
import type { InFlightAttempt } from "../targets/target_table.ts";
import type { AttemptEnd, Target } from "../targets/types.ts";

/** A request as it arrives. */
export interface Arrival {
  readonly requestId: number;
  readonly method: string;
  /** Value of the host header. */
  readonly host: string;
  /** Path with its query. */
  readonly path: string;
  /** SHA-256 of the key in hex, or "" when none was shown. */
  readonly keyDigest: string;
  /** Object that the request concerns, or "" when none was named. */
  readonly objectKey: string;
  /** Time that the caller waits, in milliseconds; 0 when not stated. */
  readonly timeoutMs: number;
  /** Length of the headers in bytes. */
  readonly headerBytes: number;
  /** Length of the body in bytes, or -1 when unknown. */
  readonly bodyBytes: number;
  /** Whether a header breaks the rules for callers. */
  readonly malformed: boolean;
}

/** A change that the pipeline decides on. */
export type RequestEvent =
  | { readonly type: "arrived"; readonly arrival: Arrival }
  /** The body, or the first part of a large one, was received. */
  | {
    readonly type: "body_ready";
    readonly requestId: number;
    readonly bytes: number;
    /** Hash of method, path and body. */
    readonly contentHash: string;
  }
  | { readonly type: "body_too_large"; readonly requestId: number }
  /** A part of the answer is about to be passed to the caller. */
  | { readonly type: "answer_started"; readonly requestId: number }
  | {
    readonly type: "attempt_ended";
    readonly requestId: number;
    readonly end: AttemptEnd;
    /** Whether a byte of the request may have reached the target. */
    readonly sent: boolean;
    /** Whether the whole body can be sent once more. */
    readonly canResend: boolean;
    /** Bytes of the answer. */
    readonly answerBytes: number;
  }
  | { readonly type: "caller_gone"; readonly requestId: number }
  /** A connection to a target was refused. */
  | { readonly type: "target_refused"; readonly targetId: string }
  /** Another host saw a target die with this fingerprint in flight. */
  | {
    readonly type: "suspicion_learned";
    readonly fingerprint: string;
    readonly targetId: string;
  }
  | { readonly type: "tick" };

/** What decided on a target, for the log. */
export interface Decision {
  readonly attempt: number;
  readonly rank: number;
  readonly warm: boolean;
  readonly waitMs: number;
  readonly expectedMs: number;
  readonly usable: number;
  /** Age of the target's load report; -1 without one. */
  readonly loadAgeMs: number;
}

/** What is known of a request when it is refused, for the log. */
export interface RefusalContext {
  readonly routeId: string;
  readonly service: string;
  readonly organisation: string;
  readonly attempts: number;
  readonly heldMs: number;
  /** What decided, in words. */
  readonly why: string;
}

/** What the shell has to do. */
export type RequestEffect =
  | {
    readonly type: "send";
    readonly requestId: number;
    readonly target: Target;
    readonly route: Route;
    /** Organisation of the request; "" on open routes. */
    readonly organisation: string;
    /** Time left until the deadline, in milliseconds. */
    readonly remainingMs: number;
    readonly decision: Decision;
  }
  /** Pass the answer that the ended attempt has received to the caller. */
  | { readonly type: "deliver"; readonly requestId: number }
  | {
    readonly type: "refuse";
    readonly requestId: number;
    readonly refusal: Refusal;
    readonly about: RefusalContext;
  }
  /** End the attempt on the target. */
  | { readonly type: "abort"; readonly requestId: number }
  /** Close the caller's connection, as its answer cannot be completed. */
  | { readonly type: "break"; readonly requestId: number }
  /** Try a connection to a target, as an attempt on it broke. */
  | { readonly type: "check_target"; readonly target: Target }
  /** Tell other hosts that requests with a fingerprint crash targets. */
  | { readonly type: "block"; readonly fingerprint: string }
  /** Tell other hosts that a target died with this fingerprint in flight. */
  | {
    readonly type: "suspect";
    readonly fingerprint: string;
    readonly targetId: string;
  };

/** Where a request is on its way. */
export type RequestPhase = "reading" | "running";

/** One request between its arrival and its end. */
export interface RequestState {
  readonly requestId: number;
  readonly route: Route;
  /** Service that was picked for the request. */
  readonly service: string;
  readonly organisation: Organisation | undefined;
  readonly arrivedMs: number;
  readonly deadlineMs: number;
  /** Hash of the object for placement; `undefined` without affinity. */
  readonly keyHash: number | undefined;
  /** Number from 0 up to 1 of the object, or a random one. */
  readonly unit: number;
  phase: RequestPhase;
  fingerprint: string;
  bodyBytes: number;
  /** Attempts that reached a target. */
  attempts: number;
  /** Whether an attempt may have run the request. */
  mayHaveRun: boolean;
  /** Targets that got the request. */
  readonly tried: string[];
  current: CurrentAttempt | undefined;
  answerStarted: boolean;
  /** Whether the last attempt ended with the target's own failure. */
  hasFailure: boolean;
}

/** The attempt that is running. */
export interface CurrentAttempt {
  readonly flight: InFlightAttempt;
  readonly candidate: Candidate;
  readonly startedMs: number;
  /** Whether this host knows that the target has handled the object. */
  readonly knownWarm: boolean;
  /** Whether the target was checked because it does not answer. */
  checked: boolean;
}

/** Why a request can't be sent. */
export interface Obstacle {
  readonly kind: ErrorKind;
  readonly why: string;
  readonly retryAfterMs?: number;
}
