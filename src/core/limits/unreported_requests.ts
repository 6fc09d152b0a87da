/**
 * Limits the requests that a host admits beyond its share and that the other
 * hosts do not know of yet. Without a limit, requests that arrive at many hosts
 * at once would each be admitted in the room that all hosts see.
 *
 * @module
 */
import { SlidingWindowCounter } from "./sliding_window_counter.ts";

/** Bounds on the requests that others do not know of. */
interface Bounds {
  /** Time after which the other hosts know of an admitted request. */
  readonly windowMs: number;
  /** Requests in that time that are permitted always. */
  readonly minRequests: number;
  /** Ratio to the demand that the host has reported. */
  readonly demandRatio: number;
}

/** Hosts report each 250 ms and recompute their shares each 100 ms. */
const HOST_BOUNDS: Bounds = {
  windowMs: 500,
  minRequests: 1,
  demandRatio: 1.5,
};
/** Bounds while whole zones report, whose reports are older. */
const ZONE_BOUNDS: Bounds = {
  windowMs: 1_000,
  minRequests: 4,
  demandRatio: 2.5,
};

/** What the limit depends on. */
export interface UnreportedLimitInputs {
  /** Demand that this host has reported. */
  readonly reportedRequestsPerS: number;
  /** This host's even part of what all hosts may still admit. */
  readonly evenRoomRequests: number;
  /** Whether whole zones report. */
  readonly hasZones: boolean;
}

/** Counts one organisation's requests at a host until the others know of them. */
export class UnreportedRequests {
  readonly #byHosts: SlidingWindowCounter;
  readonly #byZones: SlidingWindowCounter;

  constructor(nowMs: number) {
    this.#byHosts = new SlidingWindowCounter(HOST_BOUNDS.windowMs, nowMs);
    this.#byZones = new SlidingWindowCounter(ZONE_BOUNDS.windowMs, nowMs);
  }

  /** Counts an admitted request. */
  add(nowMs: number): void {
    this.#byHosts.add(nowMs);
    this.#byZones.add(nowMs);
  }

  /** Removes the latest request, which did not run. */
  removeLatest(nowMs: number): void {
    this.#byHosts.removeLatest(nowMs);
    this.#byZones.removeLatest(nowMs);
  }

  /** Whether one more request may be admitted beyond the share. */
  hasRoom(
    { reportedRequestsPerS, evenRoomRequests, hasZones }: UnreportedLimitInputs,
    nowMs: number,
  ): boolean {
    const [counter, { windowMs, minRequests, demandRatio }] = hasZones
      ? [this.#byZones, ZONE_BOUNDS]
      : [this.#byHosts, HOST_BOUNDS];
    return counter.count(nowMs) < Math.max(
      minRequests,
      demandRatio * reportedRequestsPerS * windowMs / 1_000,
      evenRoomRequests,
    );
  }
}
