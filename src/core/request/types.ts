/**
 * Events, effects and state of the request pipeline.
 *
 * @module
 */
import type { Candidate } from "../balance/choose_target.ts";
import type { Organisation, Route } from "../document/document.ts";
import type { ErrorKind, Refusal } from "../errors.ts";
import type { HostAddress } from "../membership/types.ts";
import type { AvailabilityStatement } from "../targets/stated_availability.ts";
import type { InFlightAttempt } from "../targets/target_table.ts";
import type { AttemptEnd, Target } from "../targets/types.ts";

/** A caller's request after its headers were received. */
export interface IncomingRequest {
  readonly requestId: number;
  readonly method: string;
  /** Value of the host header. */
  readonly host: string;
  /** Path with query. */
  readonly path: string;
  /** SHA-256 of the API key in hex; "" without a key. */
  readonly keyDigest: string;
  /** Names the object that the request concerns; "" without one. */
  readonly affinityKey: string;
  /**
   * Time that the caller waits for a response, in milliseconds; 0 if not
   * stated.
   */
  readonly timeoutMs: number;
  readonly headerBytes: number;
  /** Length of the body in bytes; -1 if unknown. */
  readonly bodyBytes: number;
  /** What is wrong with the request line or headers; "" if they are valid. */
  readonly malformation: string;
  /**
   * Attempts that the host that relays the request allows; `undefined` if a
   * caller sent it.
   */
  readonly relayedAttempts?: number;
}

/** Input of the request reducer. */
export type RequestEvent =
  | { readonly type: "request_arrived"; readonly incoming: IncomingRequest }
  /** The whole body, or the first part of a large one, was received. */
  | {
    readonly type: "body_ready";
    readonly requestId: number;
    /** Bytes of the body received so far. */
    readonly bytes: number;
    /** Hash of method, path and body. */
    readonly contentHash: string;
  }
  | { readonly type: "body_too_large"; readonly requestId: number }
  /** The bodies of all requests take up the memory that they may. */
  | { readonly type: "body_memory_full"; readonly requestId: number }
  /** A response, complete or not, states the availability of its target. */
  | {
    readonly type: "target_stated";
    readonly requestId: number;
    readonly statement: AvailabilityStatement;
  }
  /**
   * The first part of a streamed response is about to be sent to the caller.
   */
  | { readonly type: "response_started"; readonly requestId: number }
  | {
    readonly type: "attempt_ended";
    readonly requestId: number;
    readonly end: AttemptEnd;
    /** Whether any byte of the request may have reached the target. */
    readonly mayHaveReachedTarget: boolean;
    /** Whether the whole body is still available for another attempt. */
    readonly canResend: boolean;
    /** Bytes of the response's body that were received. */
    readonly responseBytes: number;
  }
  | { readonly type: "caller_disconnected"; readonly requestId: number }
  /** An unexpected error has ended the request outside the reducer. */
  | { readonly type: "request_failed"; readonly requestId: number }
  /** The connection check of a target failed. */
  | { readonly type: "connection_refused"; readonly targetId: string }
  /** A peer reports a target that crashed with this fingerprint in flight. */
  | {
    readonly type: "suspicion_received";
    readonly fingerprint: string;
    readonly targetId: string;
    /** Time since the crash. */
    readonly ageMs: number;
  }
  | { readonly type: "tick" };

/** Why a target was chosen, logged with the attempt. */
export interface TargetDecision {
  /** Number of the attempt, from 1. */
  readonly attempt: number;
  /** Rank of the target among the object's holders, from 0. */
  readonly rank: number;
  /** Whether the target is expected to have the object in its cache. */
  readonly warm: boolean;
  /** Expected queue wait. */
  readonly waitMs: number;
  /** Expected time until the response. */
  readonly expectedMs: number;
  /** Number of targets to choose from. */
  readonly usable: number;
  /** Age of the target's load report to this host or another; -1 without one. */
  readonly loadAgeMs: number;
  /** Expected pace of the target's machine, in percent of the usual. */
  readonly pacePercent: number;
}

/** State of a request when it is refused, for the log. */
export interface RefusalContext {
  /** "" if no route matched. */
  readonly routeId: string;
  /** "" if the request was refused on arrival. */
  readonly service: string;
  /** "" without an organisation. */
  readonly organisation: string;
  readonly attempts: number;
  /** Time between arrival and refusal. */
  readonly heldMs: number;
  /** Reason in words. */
  readonly why: string;
}

/** Why a request is no longer held. */
export type HoldOutcome =
  /** It is sent to a target or another host. */
  | "sent"
  | "refused"
  /** It gives way to another request, as the queue is full. */
  | "displaced"
  | "caller_left";

/** Output of the request reducer, carried out by the shell. */
export type RequestEffect =
  /** Start an attempt on a target. */
  | {
    readonly type: "send";
    readonly requestId: number;
    readonly target: Target;
    readonly route: Route;
    /** Identifier of the organisation; "" without one. */
    readonly organisation: string;
    /** Time left until the deadline, in milliseconds. */
    readonly remainingMs: number;
    readonly decision: TargetDecision;
  }
  /** The request is held until a target has a free slot. */
  | {
    readonly type: "hold";
    readonly requestId: number;
    readonly service: string;
    readonly routeId: string;
    readonly priority: number;
    /** Target for which it waits, unless another one is free before. */
    readonly targetId: string;
    /** Expected wait for a slot at the target. */
    readonly waitMs: number;
    /** Age of the target's load report; -1 without one. */
    readonly loadAgeMs: number;
    /** Time until it is decided again at the latest. */
    readonly forMs: number;
    /** Requests that are held for the service, with this one. */
    readonly queueLength: number;
  }
  /** The request is no longer held. */
  | {
    readonly type: "hold_ended";
    readonly requestId: number;
    readonly service: string;
    readonly routeId: string;
    readonly heldMs: number;
    readonly outcome: HoldOutcome;
  }
  /** Send the caller the response of the attempt that ended last. */
  | { readonly type: "deliver"; readonly requestId: number }
  /** Start an attempt on another host, which sends the request to a target. */
  | {
    readonly type: "relay";
    readonly requestId: number;
    readonly host: HostAddress;
    readonly route: Route;
    /** Identifier of the organisation; "" without one. */
    readonly organisation: string;
    /** Time left until the deadline, in milliseconds. */
    readonly remainingMs: number;
    /** Attempts that the other host may make. */
    readonly maxAttempts: number;
    /** Number of the attempt, from 1. */
    readonly attempt: number;
  }
  /** Send the caller an error response. */
  | {
    readonly type: "refuse";
    readonly requestId: number;
    readonly refusal: Refusal;
    readonly context: RefusalContext;
  }
  /** Abort the attempt in flight. */
  | { readonly type: "abort"; readonly requestId: number }
  /** Close the caller's connection, as its response cannot be completed. */
  | { readonly type: "disconnect_caller"; readonly requestId: number }
  /** Check whether a target still accepts connections. */
  | { readonly type: "check_target"; readonly target: Target }
  /** Tell peers to block requests with this fingerprint. */
  | { readonly type: "block"; readonly fingerprint: string }
  /** Tell peers that a target crashed with this fingerprint in flight. */
  | {
    readonly type: "suspect";
    readonly fingerprint: string;
    readonly targetId: string;
  };

/**
 * Progress of a request: its body is awaited, it is held until a target has a
 * free slot, or it has been sent to a target.
 */
export type RequestPhase = "reading" | "queued" | "running";

/** A request in progress. */
export interface RequestState {
  readonly requestId: number;
  /** What arrived, for checks against a later document. */
  readonly incoming: IncomingRequest;
  /** Version of the document that the request was checked against. */
  readonly documentVersion: number;
  readonly route: Route;
  /** Service that was picked from the route's traffic split. */
  readonly service: string;
  /** `undefined` if the request has no valid key and needs none. */
  readonly organisation: Organisation | undefined;
  readonly arrivedMs: number;
  readonly deadlineMs: number;
  /** Hash of service and affinity key; `undefined` without affinity. */
  readonly keyHash: number | undefined;
  /**
   * Number between 0 and 1 that is compared with a release's share of the
   * traffic to choose a version. It is the same for all requests with one
   * affinity key, and random without a key.
   */
  readonly versionBucket: number;
  /** Whether another host relays the request, which has taken the quota token. */
  readonly isRelayed: boolean;
  /** Attempts that may reach a target. */
  readonly maxAttempts: number;
  phase: RequestPhase;
  /**
   * Identifies equal requests of one organisation for crash attribution; ""
   * until the body was received.
   */
  fingerprint: string;
  bodyBytes: number;
  /** Attempts that reached their target and count against the route's limit. */
  countedAttempts: number;
  /** Whether a target may have run the request in an earlier attempt. */
  mayHaveRun: boolean;
  /** Targets of all attempts, in their order. */
  readonly triedTargetIds: string[];
  /** Hosts that the request was relayed to, in their order. */
  readonly triedRelayHostIds: string[];
  /** The in-flight attempt on a target. */
  currentAttempt: CurrentAttempt | undefined;
  /** Whether an attempt on another host is in flight. */
  isRelayInFlight: boolean;
  /** Whether part of a response was sent to the caller. */
  hasResponseStarted: boolean;
  /**
   * Whether the last attempt ended with a 5xx response that can be delivered.
   */
  hasFailureResponse: boolean;
}

/** The in-flight attempt of a request. */
export interface CurrentAttempt {
  /** Handle of the attempt in the target table. */
  readonly handle: InFlightAttempt;
  readonly candidate: Candidate;
  readonly startedMs: number;
  /** Whether this host had sent the target a request for the object before. */
  readonly isKnownWarm: boolean;
  /** Whether a connection check was started because the target is silent. */
  isCheckStarted: boolean;
}

/** Why a request is refused. */
export interface RefusalReason {
  readonly kind: ErrorKind;
  /** Reason in words, for the log. */
  readonly reason: string;
  /** Delay before a retry in milliseconds; the kind's default if absent. */
  readonly retryAfterMs?: number;
}
