/**
 * Counts the requests that targets began to run for this host, by window and
 * organisation.
 *
 * A target does not state when it began to run a request. While the attempt is
 * in flight, the begin is expected after the way there and the queue wait that
 * was estimated when the target was chosen. The response tells more: the request
 * had begun by then, and about a service time before.
 *
 * @module
 */
import type { AttemptOutcome } from "../targets/types.ts";
import type { WindowUsage } from "./types.ts";

/** Estimates that the choice of the target was based on. */
export interface AttemptEstimate {
  readonly queueWaitMs: number;
  readonly roundTripMs: number;
  /** Time until the response: queue wait, round trip and service time. */
  readonly expectedResponseMs: number;
}

interface CountedAttempt extends AttemptEstimate {
  readonly organisationId: string;
  /** Time at which the request was sent; `undefined` before. */
  sentMs: number | undefined;
}

/** Outcomes of attempts that the target has run or may have run. */
const RUN_OUTCOMES: ReadonlySet<AttemptOutcome> = new Set([
  "answered",
  "failed",
  "broken",
  "cancelled",
]);

/** Options of a `UsageCounter`. */
export interface UsageCounterOptions {
  /** Returns the window at a time on the monotonic clock. */
  readonly windowAt: (monotonicMs: number) => number;
  /** Number of windows before the present one that are kept. */
  readonly keptWindows: number;
}

/** Counts of one process. */
export class UsageCounter {
  readonly #options: UsageCounterOptions;
  /** Attempts in flight by the id of their request. */
  readonly #attempts = new Map<number, CountedAttempt>();
  readonly #windows = new Map<number, Map<string, number>>();

  constructor(options: UsageCounterOptions) {
    this.#options = options;
  }

  /** Starts an attempt; a request has at most one at a time. */
  start(
    requestId: number,
    organisationId: string,
    { queueWaitMs, roundTripMs, expectedResponseMs }: AttemptEstimate,
  ): void {
    if (organisationId === "") return;
    this.#attempts.set(requestId, {
      organisationId,
      queueWaitMs,
      roundTripMs,
      expectedResponseMs,
      sentMs: undefined,
    });
  }

  /** Records that bytes of the request were sent. */
  recordSent(requestId: number, nowMs: number): void {
    const attempt = this.#attempts.get(requestId);
    if (attempt !== undefined) attempt.sentMs ??= nowMs;
  }

  /** Ends an attempt and counts it if the target began to run the request. */
  end(requestId: number, outcome: AttemptOutcome, nowMs: number): void {
    const attempt = this.#attempts.get(requestId);
    if (attempt === undefined) return;
    this.#attempts.delete(requestId);
    const expectedMs = expectBegin(attempt);
    if (expectedMs === undefined || !RUN_OUTCOMES.has(outcome)) return;
    const { windowAt } = this.#options;
    const { sentMs = nowMs, queueWaitMs, roundTripMs, organisationId } =
      attempt;
    const serviceTimeMs = attempt.expectedResponseMs - queueWaitMs -
      roundTripMs;
    if (outcome !== "answered" && outcome !== "failed") {
      // Without a response, the request may have ended in the queue.
      if (expectedMs > nowMs) return;
      return addTo(this.#windowOf(windowAt(expectedMs)), organisationId);
    }
    const earliestMs = sentMs + roundTripMs / 2;
    const latestMs = Math.max(earliestMs, nowMs - roundTripMs / 2);
    const measuredWaitMs = latestMs - serviceTimeMs - earliestMs;
    const waitMs = queueWaitMs === 0
      ? 0
      : (queueWaitMs + Math.max(0, measuredWaitMs)) / 2;
    const beganMs = Math.min(latestMs, earliestMs + waitMs);
    addTo(this.#windowOf(windowAt(beganMs)), organisationId);
  }

  /**
   * Returns the counts of the windows that are kept, oldest first, with the
   * attempts in flight that are expected to have begun.
   */
  report(nowMs: number): WindowUsage[] {
    const { windowAt, keptWindows } = this.#options;
    const firstWindow = windowAt(nowMs) - keptWindows;
    for (const windowNumber of this.#windows.keys()) {
      if (windowNumber < firstWindow) this.#windows.delete(windowNumber);
    }
    const counts = new Map(
      [...this.#windows].map(([number, requests]) => [
        number,
        new Map(requests),
      ]),
    );
    for (const attempt of this.#attempts.values()) {
      const beganMs = expectBegin(attempt);
      if (beganMs === undefined || beganMs > nowMs) continue;
      const number = windowAt(beganMs);
      if (number < firstWindow) continue;
      const requests = counts.get(number) ?? new Map<string, number>();
      counts.set(number, requests);
      addTo(requests, attempt.organisationId);
    }
    return [...counts].sort(([a], [b]) => a - b)
      .map(([windowNumber, requestsByOrganisation]) => ({
        windowNumber,
        requestsByOrganisation,
      }));
  }

  #windowOf(windowNumber: number): Map<string, number> {
    let requests = this.#windows.get(windowNumber);
    if (requests === undefined) {
      requests = new Map();
      this.#windows.set(windowNumber, requests);
    }
    return requests;
  }
}

/** Expected time of the begin; `undefined` before the request was sent. */
function expectBegin(
  { sentMs, roundTripMs, queueWaitMs }: CountedAttempt,
): number | undefined {
  return sentMs === undefined
    ? undefined
    : sentMs + roundTripMs / 2 + queueWaitMs;
}

function addTo(requests: Map<string, number>, organisationId: string): void {
  requests.set(organisationId, (requests.get(organisationId) ?? 0) + 1);
}
