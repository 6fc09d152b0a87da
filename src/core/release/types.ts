/**
 * Types of releases. A release moves a service's traffic to a new version of
 * its targets.
 *
 * @module
 */

/** State of a release in the store. */
export type ReleaseOutcome = "ordered" | "running" | "complete" | "rolled_back";

/** Release that an operator has ordered. */
export interface ReleaseOrder {
  readonly service: string;
  readonly version: string;
  /** Time from the order until the version should get all traffic. */
  readonly durationMs: number;
  readonly outcome: ReleaseOutcome;
  /** Revision of the stored object, which a write of the outcome names. */
  readonly revision: number;
}

/** Responses of a version on a route since a process started. */
export interface VersionCount {
  readonly service: string;
  readonly routeId: string;
  readonly version: string;
  /** Number of responses, bad ones included. */
  readonly answers: number;
  /** Responses that failed or came far later than expected. */
  readonly bad: number;
}

/** Rule for the versions of a service that a request may use. */
export type VersionRule =
  /** This version and no other. */
  | { readonly type: "only"; readonly version: string }
  /** All versions but these. */
  | { readonly type: "not"; readonly versions: ReadonlySet<string> };

/** Version that gets no more traffic, with the reason. */
export interface StoppedVersion {
  readonly service: string;
  readonly version: string;
  readonly reason: string;
}

/** Progress of a release on one host. */
export interface ReleaseProgress {
  readonly service: string;
  readonly version: string;
  /** Time since the order was first seen, in milliseconds. */
  readonly seenForMs: number;
  /** Time since the version was found good; `undefined` before. */
  readonly goodForMs: number | undefined;
}

/** Effect that the shell executes for a release. */
export type ReleaseEffect =
  /** The version was stopped: report it to the other hosts at once. */
  | ({ readonly type: "stop" } & StoppedVersion)
  /** The share of the new version has changed. */
  | {
    readonly type: "share";
    readonly service: string;
    readonly version: string;
    readonly share: number;
    readonly reason: string;
  }
  /** Write the outcome to the store, based on the order's revision. */
  | {
    readonly type: "write";
    readonly order: ReleaseOrder;
    readonly outcome: "running" | "complete" | "rolled_back";
    readonly reason: string;
  };

/** Bounds on releases. */
export interface ReleaseBounds {
  /** Fraction of a service's requests that a bad version may get. */
  readonly exposureShare: number;
}
