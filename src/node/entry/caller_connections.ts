/**
 * Decides on new connections of callers by the descriptors that are in use.
 *
 * @module
 */
import {
  type ConnectionDecision,
  ConnectionLimit,
} from "../../core/limits/connection_limit.ts";
import type { ConnectionPool } from "../target/connection_pool.ts";
import type { Log } from "../telemetry/log.ts";

/** Options of `createConnectionDecider`. */
export interface ConnectionDeciderOptions {
  /** Descriptors that the host uses at most. */
  readonly maxDescriptors: number;
  /** Pools whose connections take descriptors as well. */
  readonly pools: readonly ConnectionPool[];
  readonly log: Log;
  readonly nowMs: () => number;
}

/**
 * Creates the decision on a new connection, which takes the number of open
 * connections of callers, with the new one.
 */
export function createConnectionDecider(
  { maxDescriptors, pools, log, nowMs }: ConnectionDeciderOptions,
): (callerConnections: number) => ConnectionDecision {
  const limit = new ConnectionLimit(maxDescriptors);
  return (callerConnections) => {
    const openConnections = pools.reduce(
      (sum, { establishedCount }) => sum + establishedCount,
      callerConnections,
    );
    const decision = limit.decide(openConnections);
    if (decision !== "accept" && limit.takeReport(nowMs())) {
      log.warn("connections_limited", { openConnections, maxDescriptors });
    }
    return decision;
  };
}
