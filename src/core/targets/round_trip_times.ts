/**
 * Round-trip times to targets by distance, measured by the time that it takes
 * to establish connections.
 *
 * @module
 */
import type { Locality } from "../types.ts";

/** EWMA weight of one connection. */
const MEAN_WEIGHT = 0.1;

/** Distance to another locality. */
export type Distance =
  | "same_zone"
  /** Another zone of the same region. */
  | "other_zone"
  | "other_region";

/** Mean round-trip times measured from one locality. */
export class RoundTripTimes {
  readonly #origin: Locality;
  #meansMs = new Map<Distance, number>();

  constructor(origin: Locality) {
    this.#origin = origin;
  }

  /** Returns the distance from the origin to a locality. */
  distanceTo({ region, availabilityZone }: Locality): Distance {
    if (region !== this.#origin.region) return "other_region";
    return availabilityZone === this.#origin.availabilityZone
      ? "same_zone"
      : "other_zone";
  }

  /** Whether a connection over this distance has been measured. */
  isMeasured(distance: Distance): boolean {
    return this.#meansMs.has(distance);
  }

  /** Records how long it took to establish a connection to a locality. */
  recordConnection(locality: Locality, durationMs: number): void {
    const distance = this.distanceTo(locality);
    const meanMs = this.#meansMs.get(distance);
    this.#meansMs.set(
      distance,
      meanMs === undefined
        ? durationMs
        : meanMs + MEAN_WEIGHT * (durationMs - meanMs),
    );
  }

  /**
   * Additional round trip to another region, compared to the same zone, in
   * milliseconds; 0 until it is measured.
   */
  get extraRegionMs(): number {
    return this.#extraMs("other_region");
  }

  /**
   * Additional round trip to another zone of the region, compared to the same
   * zone, in milliseconds; 0 until it is measured.
   */
  get extraZoneMs(): number {
    return this.#extraMs("other_zone");
  }

  #extraMs(distance: Distance): number {
    const sameZoneMs = this.#meansMs.get("same_zone") ?? 0;
    return Math.max(0, (this.#meansMs.get(distance) ?? 0) - sameZoneMs);
  }
}
