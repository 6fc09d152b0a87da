/**
 * Decides on new connections of callers by the descriptors that are in use, and
 * limits those of the other servers.
 *
 * @module
 */
import {
  type ConnectionDecision,
  ConnectionLimit,
} from "../../core/limits/connection_limit.ts";
import type { Server } from "node:http";
import type { ConnectionPool } from "../target/connection_pool.ts";
import type { Log } from "../telemetry/log.ts";

/**
 * Part of the connections that another server may have above which it closes
 * idle ones.
 */
const MAX_USED_FRACTION = 0.75;

/** Options of `createConnectionDecider`. */
export interface ConnectionDeciderOptions {
  /** Descriptors that the host uses at most. */
  readonly maxDescriptors: number;
  /** Pools whose connections take descriptors as well. */
  readonly pools: readonly ConnectionPool[];
  /** Servers besides that of callers, whose connections are limited. */
  readonly otherServers: readonly Server[];
  readonly log: Log;
  readonly nowMs: () => number;
}

/**
 * Limits the connections of the other servers, and creates the decision on a new
 * connection of a caller, which takes the number of open
 * connections of callers, with the new one.
 */
export function createConnectionDecider(
  { maxDescriptors, pools, otherServers, log, nowMs }: ConnectionDeciderOptions,
): (callerConnections: number) => ConnectionDecision {
  const limit = new ConnectionLimit(maxDescriptors);
  let otherConnections = 0;
  const { maxOtherServerConnections } = limit;
  for (const server of otherServers) {
    let connections = 0;
    server.maxConnections = maxOtherServerConnections;
    server.on("connection", (socket) => {
      connections += 1;
      otherConnections += 1;
      socket.once("close", () => {
        connections -= 1;
        otherConnections -= 1;
      });
      // Those that are kept for later requests make room for new ones.
      if (connections > MAX_USED_FRACTION * maxOtherServerConnections) {
        server.closeIdleConnections();
      }
    });
  }
  return (callerConnections) => {
    const openConnections = pools.reduce(
      (sum, { establishedCount }) => sum + establishedCount,
      callerConnections + otherConnections,
    );
    const decision = limit.decide(openConnections);
    if (decision !== "accept" && limit.takeReport(nowMs())) {
      log.warn("connections_limited", { openConnections, maxDescriptors });
    }
    return decision;
  };
}
