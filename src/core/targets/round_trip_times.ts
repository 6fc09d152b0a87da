/**
 * Round trips to regions and zones, learned from the time that connections
 * take to be established.
 *
 * @module
 */
import type { Place } from "../types.ts";

/** Weight of one connection in a mean. */
const WEIGHT = 0.1;

/** How far a place is. */
export type Distance = "near" | "zone" | "region";

/** Mean round trips seen from one place. */
export class RoundTripTimes {
  readonly #from: Place;
  #meansMs = new Map<Distance, number>();

  constructor(from: Place) {
    this.#from = from;
  }

  /** How far a place is from here. */
  distanceTo({ region, availabilityZone }: Place): Distance {
    if (region !== this.#from.region) return "region";
    return availabilityZone === this.#from.availabilityZone ? "near" : "zone";
  }

  /** Whether a connection over this distance was seen. */
  isMeasured(distance: Distance): boolean {
    return this.#meansMs.has(distance);
  }

  /** Notes how long a connection to a place took. */
  recordConnection(place: Place, tookMs: number): void {
    const distance = this.distanceTo(place);
    const known = this.#meansMs.get(distance);
    this.#meansMs.set(
      distance,
      known === undefined ? tookMs : known + WEIGHT * (tookMs - known),
    );
  }

  /** Time that a target in another region takes more than a near one. */
  get extraRegionMs(): number {
    return this.#extraMs("region");
  }

  /** Time that a target in another zone takes more than a near one. */
  get extraZoneMs(): number {
    return this.#extraMs("zone");
  }

  #extraMs(distance: Distance): number {
    const nearMs = this.#meansMs.get("near") ?? 0;
    return Math.max(0, (this.#meansMs.get(distance) ?? 0) - nearMs);
  }
}
