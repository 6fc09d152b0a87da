/**
 * Estimate of the requests at one target, from this host's in-flight requests,
 * from the load that the target reports in its responses, and from what it
 * reported to other hosts.
 *
 * What other hosts tell is bounded, as one of them may report falsely: the mean
 * follows reports to this host only, and no observation outweighs it wholly.
 *
 * @module
 */
import type { LoadReport } from "./types.ts";

/**
 * Time constant in which the latest report gives way to the mean of earlier
 * ones. Requests of other hosts end within about one service time.
 */
const REPORT_DECAY_MS = 250;
/**
 * Time constant in which a report to another host gives way to what this host
 * knows. Reports of one target that lay 300, 500 and 1,000 ms apart correlated at
 * 0.63, 0.47 and 0.15 on a simulated day; see docs/design/target_load.md.
 */
const OBSERVATION_DECAY_MS = 650;
/** EWMA weight of a new report in the mean of other hosts' requests. */
const MEAN_WEIGHT = 0.15;

/** Largest weight of what another host tells against what this host knows. */
const MAX_OBSERVATION_WEIGHT = 0.75;
/**
 * Largest number of requests that another host's observation counts for,
 * relative to the slots. Alone it makes a target look busy, not overloaded.
 */
const MAX_OBSERVED_FILL = 1.5;

/** Load of one target. */
export class LoadEstimate {
  /** In-flight attempts of this host. */
  inFlightAttempts = 0;
  #slots: number;
  #otherRequests = 0;
  #meanOtherRequests = 0;
  #lastReportMs = -Infinity;
  #observedRequests = 0;
  #observedMs = -Infinity;

  /** @param slots Requests that the target runs at the same time. */
  constructor(slots: number) {
    this.#slots = Math.max(1, slots);
  }

  /** Requests that the target runs at the same time. */
  get slots(): number {
    return this.#slots;
  }

  /** Time of the target's last load report; -Infinity if there is none. */
  get lastReportMs(): number {
    return this.#lastReportMs;
  }

  /** Records a load report. It includes the in-flight requests of this host. */
  recordReport(report: LoadReport, nowMs: number): void {
    if (report.slots > 0) this.#slots = report.slots;
    const totalRequests = report.running + report.waiting;
    this.#otherRequests = Math.max(0, totalRequests - this.inFlightAttempts);
    this.#meanOtherRequests += MEAN_WEIGHT *
      (this.#otherRequests - this.#meanOtherRequests);
    this.#lastReportMs = nowMs;
  }

  /**
   * Records what the target reported to another host. Returns false if it is
   * older than what is known.
   *
   * @param ownRequests In-flight attempts of this host at that time.
   */
  recordObservation(
    { running, waiting }: Pick<LoadReport, "running" | "waiting">,
    ownRequests: number,
    observedMs: number,
  ): boolean {
    if (observedMs <= this.lastKnownMs) return false;
    const totalRequests = Math.min(
      running + waiting,
      MAX_OBSERVED_FILL * this.#slots,
    );
    this.#observedRequests = Math.max(0, totalRequests - ownRequests);
    this.#observedMs = observedMs;
    return true;
  }

  /** Time of the newest report to this host or another; -Infinity if none. */
  get lastKnownMs(): number {
    return Math.max(this.#lastReportMs, this.#observedMs);
  }

  /** Estimated requests at the target, of this host and all others. */
  estimatedRequests(nowMs: number): number {
    let otherRequests = 0;
    if (this.#lastReportMs !== -Infinity) {
      const weight = Math.exp(-(nowMs - this.#lastReportMs) / REPORT_DECAY_MS);
      otherRequests = this.#meanOtherRequests +
        (this.#otherRequests - this.#meanOtherRequests) * weight;
    }
    if (this.#observedMs > this.#lastReportMs) {
      const weight = MAX_OBSERVATION_WEIGHT *
        Math.exp(-(nowMs - this.#observedMs) / OBSERVATION_DECAY_MS);
      otherRequests += (this.#observedRequests - otherRequests) * weight;
    }
    return this.inFlightAttempts + otherRequests;
  }

  /**
   * Estimated time that a new request waits for a slot, in milliseconds.
   *
   * @param serviceTimeMs Time that the target works on one request.
   */
  queueWaitMs(serviceTimeMs: number, nowMs: number): number {
    const excess = this.estimatedRequests(nowMs) + 1 - this.#slots;
    return excess <= 0 ? 0 : excess * serviceTimeMs / this.#slots;
  }
}
