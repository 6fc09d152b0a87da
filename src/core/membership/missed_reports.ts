/**
 * Detects that this host may have missed reports of others.
 *
 * Some restrictions are only in the memory of the hosts, such as blocked
 * requests and targets that have stated that they leave. They are reported for
 * some seconds, so a host that gets no reports for longer asks for them.
 *
 * @module
 */
import { FAILURE_TIMEOUT_MS } from "./membership.ts";

/** Time for which a host states that it has missed reports. */
const STATEMENT_MS = 2_000;

/** Whether this host has missed reports. */
export class MissedReports {
  #statedUntilMs: number;

  /** @param nowMs Start of the process, which knows nothing yet. */
  constructor(nowMs: number) {
    this.#statedUntilMs = nowMs + STATEMENT_MS;
  }

  /**
   * Records the time for which nothing was heard of a host that reports now, or
   * for which this process was paused. Returns whether reports were missed.
   */
  recordSilence(silenceMs: number, nowMs: number): boolean {
    if (silenceMs < FAILURE_TIMEOUT_MS) return false;
    this.#statedUntilMs = nowMs + STATEMENT_MS;
    return true;
  }

  /** Whether this host states that it has missed reports. */
  isStatedAt(nowMs: number): boolean {
    return nowMs < this.#statedUntilMs;
  }
}
