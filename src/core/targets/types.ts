/**
 * Types of targets and of the attempts on them.
 *
 * @module
 */
import type { Locality } from "../types.ts";

/** A target as described by its registration. */
export interface Target extends Locality {
  readonly id: string;
  /** Unix time of the start in milliseconds; changes with each restart. */
  readonly startedMs: number;
  readonly service: string;
  /** IP address and port. */
  readonly address: string;
  /** Version of the software that the target runs. */
  readonly version: string;
  /** Requests that the target runs at the same time. */
  readonly slots: number;
  /** Whether the target is about to stop and accepts no new requests. */
  readonly isDraining: boolean;
}

/** Registration of a target. */
export interface Registration extends Target {
  /** Time until the cold start of the target ends; 0 if it has ended. */
  readonly coldForMs: number;
}

/** Load that a target reports in a response, as numbers of requests. */
export interface LoadReport {
  readonly running: number;
  /** Requests that wait for a slot. */
  readonly waiting: number;
  /** Requests that the target runs at the same time; 0 if not reported. */
  readonly slots: number;
  /**
   * Time that work takes on the target's machine at this moment, in percent of
   * the usual; absent if not reported.
   */
  readonly pacePercent?: number;
}

/** Outcome of an attempt on a target. */
export type AttemptOutcome =
  /** A complete response that is not a failure of the target. */
  | "answered"
  /** A complete response with a 5xx status. */
  | "failed"
  /** The target shed the load: it did not run the request. */
  | "shed"
  /** The address belongs to another target, which did not run the request. */
  | "misdirected"
  /** No connection was established, so nothing was sent. */
  | "unreachable"
  /** The connection ended early or the response was invalid, after a send. */
  | "broken"
  /** This host or the caller cancelled it; no evidence about the target. */
  | "cancelled";

/** Outcome of an attempt, with the values that its response states. */
export interface AttemptEnd {
  readonly outcome: AttemptOutcome;
  /** HTTP status of the response; 0 without one. */
  readonly status: number;
  /** Load report of the response, if it has one. */
  readonly load?: LoadReport;
  /**
   * Requests per second that the target accepts from all hosts together, if the
   * response states it.
   */
  readonly limitPerS?: number;
  /** Remaining cold start of the target, if the response states it. */
  readonly coldForMs?: number;
  /** Delay before a retry that a refusal states. */
  readonly retryAfterMs?: number;
}
