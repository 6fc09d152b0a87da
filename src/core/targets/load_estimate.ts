/**
 * Estimate of the requests at one target, from this host's in-flight requests
 * and from the load that the target reports in its responses.
 *
 * @module
 */
import type { LoadReport } from "./types.ts";

/**
 * Time constant in which the latest report gives way to the mean of earlier
 * ones. Requests of other hosts end within about one service time.
 */
const REPORT_DECAY_MS = 250;
/** EWMA weight of a new report in the mean of other hosts' requests. */
const MEAN_WEIGHT = 0.15;

/** Load of one target. */
export class LoadEstimate {
  /** In-flight attempts of this host. */
  inFlightAttempts = 0;
  #slots: number;
  #otherRequests = 0;
  #meanOtherRequests = 0;
  #lastReportMs = -Infinity;

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

  /** Estimated requests at the target, of this host and all others. */
  estimatedRequests(nowMs: number): number {
    const ageMs = nowMs - this.#lastReportMs;
    if (ageMs === Infinity) return this.inFlightAttempts;
    const weight = Math.exp(-ageMs / REPORT_DECAY_MS);
    return this.inFlightAttempts + this.#meanOtherRequests +
      (this.#otherRequests - this.#meanOtherRequests) * weight;
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
