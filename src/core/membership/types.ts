/**
 * Types of entry hosts as they tell each other.
 *
 * @module
 */
import type { Locality } from "../types.ts";

/** Whether a host takes requests. */
export type HostState =
  /** It has no configuration yet. */
  | "starting"
  | "ready"
  /** It stops soon and must get no new work. */
  | "leaving";

/** Where a host can be reached; the same for all runs on a machine. */
export interface HostAddress extends Locality {
  readonly id: string;
  /** Where callers connect, as IP address and port. */
  readonly callerAddress: string;
  /** Where other hosts connect for calls and send datagrams. */
  readonly peerAddress: string;
}

/** One run of a host. */
export interface HostRecord extends HostAddress {
  /** Unix time of the start in milliseconds; orders the runs of a host. */
  readonly startedMs: number;
  /** Grows with each report of this run. */
  readonly sequence: number;
  readonly state: HostState;
}
