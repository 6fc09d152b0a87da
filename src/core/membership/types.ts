/**
 * Types that identify an entry host and describe its state.
 *
 * @module
 */
import type { Locality } from "../types.ts";

/** Readiness of a host for requests. */
export type HostState =
  /** The host has no configuration document yet. */
  | "starting"
  | "ready"
  /** The host is stopping and must get no new requests. */
  | "leaving";

/** Identity and addresses of a host, which outlast its processes. */
export interface HostAddress extends Locality {
  readonly id: string;
  /** IP address and port to which callers connect. */
  readonly callerAddress: string;
  /** IP address and port to which other hosts connect and send datagrams. */
  readonly peerAddress: string;
}

/** One process of a host, as of one of its reports. */
export interface HostRecord extends HostAddress {
  /** Unix time of the process start in milliseconds; orders processes. */
  readonly startedMs: number;
  /** Number of the report among those of its process; grows with each. */
  readonly sequence: number;
  readonly state: HostState;
  /** Whether the host reaches targets; see `core/targets/target_path.ts`. */
  readonly hasTargetPath: boolean;
  /** Build that the process runs; "" from builds that report none. */
  readonly build: string;
  /**
   * Whether the host may have missed reports, so that the others should repeat
   * what only hosts remember.
   */
  readonly hasMissedReports: boolean;
}
