/**
 * Types of targets and of what one entry host knows about them.
 *
 * @module
 */
import type { Place } from "../types.ts";

/** A target as its registration describes it. */
export interface Target extends Place {
  readonly id: string;
  /** Unix time of the start in milliseconds; differs between two runs. */
  readonly startedMs: number;
  readonly service: string;
  /** IP address and port. */
  readonly address: string;
  /** Version of its software. */
  readonly version: string;
  /** Requests that it runs at the same time. */
  readonly slots: number;
  /** Whether it gets no new work. */
  readonly isDraining: boolean;
}

/** A registration with the time that the target stays cold from now on. */
export interface Registration extends Target {
  readonly coldForMs: number;
}

/** Load as a target reports it in an answer. */
export interface LoadReport {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
}

/** How an attempt on a target ended. */
export type AttemptOutcome =
  /** The whole answer was received; it is no failure of the target. */
  | "answered"
  /** The target answered that it failed (status 5xx). */
  | "failed"
  /** The target refused and said that it did not run the request. */
  | "shed"
  /** Another target has the address. */
  | "misdirected"
  /** No connection was made, so no byte was sent. */
  | "unreachable"
  /** The connection ended, or carried what is no answer, after a send. */
  | "broken"
  /** This host or the caller ended the attempt; it says nothing. */
  | "cancelled";

/** What is known when an attempt ends. */
export interface AttemptEnd {
  readonly outcome: AttemptOutcome;
  /** Status of the target's answer; 0 without one. */
  readonly status: number;
  /** Load report of the answer. */
  readonly load?: LoadReport;
  /** Time that the target stays cold, when its answer tells. */
  readonly coldForMs?: number;
}
