/**
 * Phases of a graceful stop, from the stop signal to the process exit.
 *
 * @module
 */

/** Fraction of the grace period after which new requests are refused. */
const REFUSE_AFTER_FRACTION = 0.55;
/** Fraction of the grace period after which the process exits. */
const EXIT_AFTER_FRACTION = 0.95;
/**
 * Fraction of the grace period during which a host keeps accepting requests
 * even when it is idle, as callers keep using it until their next lookup.
 */
const MIN_SERVING_FRACTION = 0.4;

/** How a host handles requests. */
export type StopPhase =
  /** No stop has begun; requests are accepted. */
  | "serving"
  /** Requests are accepted; callers and peers learn that the host leaves. */
  | "leaving"
  /** New requests are refused, as they might not complete before the exit. */
  | "refusing"
  /** The process exits, even with requests in progress. */
  | "ended";

/** Tracks the progress of a stop. */
export class GracefulStop {
  #beganMs: number | undefined;
  #isEnded = false;
  readonly #graceMs: () => number;

  /**
   * @param graceMs Returns the grace period in milliseconds: the time from the
   * stop signal until the process is killed.
   */
  constructor(graceMs: () => number) {
    this.#graceMs = graceMs;
  }

  /** Begins the stop; repeated calls have no effect. */
  begin(nowMs: number): void {
    this.#beganMs ??= nowMs;
  }

  /**
   * Ends the stop early, as no request is in progress. Later requests are
   * refused, as the process could exit before their responses.
   */
  end(): void {
    this.#isEnded = true;
  }

  /** Returns the phase at a time. */
  phaseAt(nowMs: number): StopPhase {
    if (this.#beganMs === undefined) return "serving";
    if (this.#isEnded) return "ended";
    const elapsedFraction = (nowMs - this.#beganMs) / this.#graceMs();
    if (elapsedFraction >= EXIT_AFTER_FRACTION) return "ended";
    return elapsedFraction >= REFUSE_AFTER_FRACTION ? "refusing" : "leaving";
  }

  /**
   * Time at which the process exits even with requests in progress; Infinity
   * while no stop has begun.
   */
  get exitsAtMs(): number {
    if (this.#beganMs === undefined) return Infinity;
    return this.#beganMs + EXIT_AFTER_FRACTION * this.#graceMs();
  }

  /** Whether the process may exit with this number of requests in progress. */
  mayExit(requestsInProgress: number, nowMs: number): boolean {
    const phase = this.phaseAt(nowMs);
    if (phase === "serving" || this.#beganMs === undefined) return false;
    if (phase === "ended") return true;
    const elapsedFraction = (nowMs - this.#beganMs) / this.#graceMs();
    return elapsedFraction >= MIN_SERVING_FRACTION && requestsInProgress === 0;
  }
}
