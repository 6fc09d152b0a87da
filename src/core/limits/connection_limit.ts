/**
 * Limit on the connections of callers, so that the host keeps descriptors for
 * targets, the store, other hosts and files.
 *
 * @module
 */

/** Part of the descriptors that callers do not get. */
const RESERVED_FRACTION = 1 / 8;
/** Least number of them; an idle host of a small fleet uses about 30. */
const MIN_RESERVED = 64;
/**
 * Part of the reserve that callers get who are answered with a refusal. Beyond
 * it, connections are closed without one.
 */
const REFUSAL_FRACTION = 0.4;
/**
 * Part of the accepted connections that each server other than that of callers
 * may have, such as that of lookups. They count with those of callers.
 */
const OTHER_SERVER_FRACTION = 1 / 8;
/** Time between two reports of refused connections. */
const REPORT_INTERVAL_MS = 60_000;

/** What to do with a new connection. */
export type ConnectionDecision = "accept" | "refuse" | "close";

/** Decides on new connections of callers. */
export class ConnectionLimit {
  readonly #acceptedConnections: number;
  readonly #refusedConnections: number;
  #lastReportMs = -Infinity;

  /** @param maxDescriptors Descriptors that the process may have open. */
  constructor(maxDescriptors: number) {
    const reserved = Math.max(MIN_RESERVED, maxDescriptors * RESERVED_FRACTION);
    this.#acceptedConnections = Math.max(1, maxDescriptors - reserved);
    this.#refusedConnections = this.#acceptedConnections +
      reserved * REFUSAL_FRACTION;
  }

  /** Connections that each server other than that of callers may have. */
  get maxOtherServerConnections(): number {
    return Math.max(
      1,
      Math.floor(this.#acceptedConnections * OTHER_SERVER_FRACTION),
    );
  }

  /**
   * Decides on a connection of a caller.
   *
   * @param openConnections Connections of callers, including the new one, those
   * of other servers, and those to targets and other hosts.
   */
  decide(openConnections: number): ConnectionDecision {
    if (openConnections <= this.#acceptedConnections) return "accept";
    return openConnections <= this.#refusedConnections ? "refuse" : "close";
  }

  /** Whether a refused connection is to be logged, at most once a minute. */
  takeReport(nowMs: number): boolean {
    if (nowMs - this.#lastReportMs < REPORT_INTERVAL_MS) return false;
    this.#lastReportMs = nowMs;
    return true;
  }
}
