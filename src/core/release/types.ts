/**
 * Types of releases: moves of a service's traffic to another version.
 *
 * @module
 */

/** How far a release is, as the store holds it. */
export type ReleaseOutcome = "ordered" | "running" | "complete" | "rolled_back";

/** A release as an operator orders it. */
export interface ReleaseOrder {
  readonly service: string;
  readonly version: string;
  /** Time from the order until the version should have all traffic. */
  readonly durationMs: number;
  readonly outcome: ReleaseOutcome;
  /** Version of the stored object, which a write of the outcome names. */
  readonly revision: number;
}

/** Answers of one version on one route since a process started. */
export interface VersionCount {
  readonly service: string;
  readonly routeId: string;
  readonly version: string;
  readonly answers: number;
  /** Answers that failed or came far later than expected. */
  readonly bad: number;
}

/** Which versions of a service a request may use. */
export type VersionRule =
  | { readonly type: "only"; readonly version: string }
  | { readonly type: "not"; readonly versions: ReadonlySet<string> };

/** A version that gets no more traffic, and why. */
export interface StoppedVersion {
  readonly service: string;
  readonly version: string;
  readonly reason: string;
}

/** How far a release is on one host. */
export interface ReleaseProgress {
  readonly service: string;
  readonly version: string;
  /** Time since the order was first seen, in milliseconds. */
  readonly seenForMs: number;
  /** Time since the version was found good; `undefined` before. */
  readonly goodForMs: number | undefined;
}

/** What the shell has to do for a release. */
export type ReleaseEffect =
  /** Tell other hosts at once. */
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

/** Bounds that are stated for releases. */
export interface ReleaseBounds {
  /** Part of the service's requests that a bad version may get. */
  readonly exposureShare: number;
}
