/**
 * Connections that measure distances before the first request.
 *
 * @module
 */
import {
  type Distance,
  type RoundTripTimes,
} from "../../core/targets/round_trip_times.ts";
import type { TargetTable } from "../../core/targets/target_table.ts";
import type { ConnectionPool } from "../target/connection_pool.ts";

/** What is measured and how. */
export interface DistanceProbeOptions {
  readonly targets: TargetTable;
  readonly roundTrips: RoundTripTimes;
  readonly pool: ConnectionPool;
  readonly nowMs: () => number;
}

/**
 * Opens one connection over each distance that is not known yet, so that
 * objects are held at the right places from the first request on.
 */
export function measureDistances(
  { targets, roundTrips, pool, nowMs }: DistanceProbeOptions,
): void {
  const opened = new Set<Distance>();
  for (const { target } of targets.all()) {
    const distance = roundTrips.distanceTo(target);
    if (roundTrips.isMeasured(distance) || opened.has(distance)) continue;
    opened.add(distance);
    pool.open(target.address, (result) => {
      if (result instanceof Error) return;
      const idle = { keepAliveMs: -1, nowMs: nowMs() };
      pool.addIdle(target.address, result, idle);
    });
  }
}
