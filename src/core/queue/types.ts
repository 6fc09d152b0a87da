/**
 * Types of the queue in which a host holds requests for which no target has a
 * free slot.
 *
 * @module
 */

/** A request that waits for a slot. */
export interface QueuedRequest {
  readonly requestId: number;
  readonly service: string;
  readonly routeId: string;
  /** "" without an organisation. */
  readonly organisationId: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly queuedMs: number;
  /** Time until which a response is within the objective of the route. */
  readonly objectiveAtMs: number;
  readonly deadlineMs: number;
  /** Expected time that a target works on the request. */
  readonly serviceTimeMs: number;
  readonly bodyBytes: number;
  /** Time at which it is decided again, unless a slot is free before. */
  untilMs: number;
}

/** Bounds of the queue of a host. */
export interface QueueBounds {
  readonly maxRequests: number;
  /** Bytes of the bodies that are held. */
  readonly maxBytes: number;
  /** Longest time for which a request is held. */
  readonly maxWaitMs: number;
}
