/**
 * Measurement of round-trip times to targets before the first request.
 *
 * @module
 */
import {
  type Distance,
  type RoundTripTimes,
} from "../../core/targets/round_trip_times.ts";
import type { TargetTable } from "../../core/targets/target_table.ts";
import type { ConnectionPool } from "../target/connection_pool.ts";

/** Options of `measureDistances`. */
export interface DistanceMeasurementOptions {
  readonly targets: TargetTable;
  readonly roundTrips: RoundTripTimes;
  readonly pool: ConnectionPool;
  readonly nowMs: () => number;
}

/**
 * Opens one connection over each distance that has not been measured yet. The
 * round-trip times decide which targets hold an object, so they are needed from
 * the first request on.
 */
export function measureDistances(
  { targets, roundTrips, pool, nowMs }: DistanceMeasurementOptions,
): void {
  const openedDistances = new Set<Distance>();
  for (const { target } of targets.all()) {
    const distance = roundTrips.distanceTo(target);
    if (roundTrips.isMeasured(distance) || openedDistances.has(distance)) {
      continue;
    }
    openedDistances.add(distance);
    pool.open(target.address, (result) => {
      if (result instanceof Error) return;
      const idle = { keepAliveMs: -1, nowMs: nowMs() };
      pool.addIdle(target.address, result, idle);
    });
  }
}
