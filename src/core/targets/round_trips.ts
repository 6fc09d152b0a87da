/**
 * Round trips to regions and zones, learned from the time that connections
 * take to be established.
 *
 * @module
 */
import type { Place } from "../types.ts";

/** Weight of one connection in a mean. */
const WEIGHT = 0.1;

/** Mean round trips seen from one place. */
export class RoundTrips {
  readonly #from: Place;
  #regionMs: number | undefined;
  #zoneMs: number | undefined;
  #nearMs: number | undefined;

  constructor(from: Place) {
    this.#from = from;
  }

  /** Notes how long a connection to a place took. */
  note({ region, availabilityZone }: Place, tookMs: number): void {
    if (region !== this.#from.region) {
      this.#regionMs = mean(this.#regionMs, tookMs);
    } else if (availabilityZone !== this.#from.availabilityZone) {
      this.#zoneMs = mean(this.#zoneMs, tookMs);
    } else this.#nearMs = mean(this.#nearMs, tookMs);
  }

  /** Time that a target in another region takes more than a near one. */
  get regionMs(): number {
    return Math.max(0, (this.#regionMs ?? 0) - (this.#nearMs ?? 0));
  }

  /** Time that a target in another zone takes more than a near one. */
  get zoneMs(): number {
    return Math.max(0, (this.#zoneMs ?? 0) - (this.#nearMs ?? 0));
  }
}

function mean(known: number | undefined, value: number): number {
  return known === undefined ? value : known + WEIGHT * (value - known);
}
