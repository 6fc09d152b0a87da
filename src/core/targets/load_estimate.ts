/**
 * Estimate of the work at one target from own counts and from the load that
 * the target reports in its answers.
 *
 * @module
 */
import type { LoadReport } from "./types.ts";

/**
 * Time constant in which a report loses its weight against the mean. Work of
 * other hosts ends within about one service time.
 */
const REPORT_DECAY_MS = 250;
/** Weight of a new report in the mean of the work of other hosts. */
const MEAN_WEIGHT = 0.15;

/** Work at one target. */
export class LoadEstimate {
  /** Own requests that were sent and not answered. */
  inFlight = 0;
  #slots: number;
  #others = 0;
  #othersMean = 0;
  #reportedMs = -Infinity;

  /** @param slots Requests that the target runs at the same time. */
  constructor(slots: number) {
    this.#slots = Math.max(1, slots);
  }

  /** Requests that the target runs at the same time. */
  get slots(): number {
    return this.#slots;
  }

  /** When the target last reported its load; -Infinity if never. */
  get lastReportMs(): number {
    return this.#reportedMs;
  }

  /** Takes over a report; own requests in flight are part of it. */
  recordReport(report: LoadReport, nowMs: number): void {
    if (report.slots > 0) this.#slots = report.slots;
    const all = report.running + report.waiting;
    this.#others = Math.max(0, all - this.inFlight);
    this.#othersMean += MEAN_WEIGHT * (this.#others - this.#othersMean);
    this.#reportedMs = nowMs;
  }

  /** Requests at the target, own and of other hosts. */
  estimatedRequests(nowMs: number): number {
    const age = nowMs - this.#reportedMs;
    if (age === Infinity) return this.inFlight;
    const weight = Math.exp(-age / REPORT_DECAY_MS);
    return this.inFlight + this.#othersMean +
      (this.#others - this.#othersMean) * weight;
  }

  /**
   * Time that a new request waits for a slot, in milliseconds.
   *
   * @param serviceMs Time that the target works on one request.
   */
  queueWaitMs(serviceMs: number, nowMs: number): number {
    const ahead = this.estimatedRequests(nowMs) + 1 - this.#slots;
    return ahead <= 0 ? 0 : ahead * serviceMs / this.#slots;
  }
}
