/**
 * Phases of a planned stop.
 *
 * @module
 */

/** Parts of the grace at whose ends the phases begin. */
const REFUSE_PART = 0.55;
const EXIT_PART = 0.95;
/**
 * Part of the grace for which a host serves on at least. Callers learn from
 * their next look-up that it leaves.
 */
const LINGER_PART = 0.4;

/** What a host does with requests. */
export type StopPhase =
  /** It takes requests. */
  | "serving"
  /** It takes requests, and callers and hosts are told that it leaves. */
  | "leaving"
  /** It refuses new requests, as they might not end in time. */
  | "refusing"
  /** It ends, whatever is in progress. */
  | "ended";

/** Progress of a stop. */
export class StopPlan {
  #sinceMs: number | undefined;
  readonly #graceMs: () => number;

  /** @param graceMs Time from the signal until the process is killed. */
  constructor(graceMs: () => number) {
    this.#graceMs = graceMs;
  }

  /** Begins the stop; a second signal changes nothing. */
  begin(nowMs: number): void {
    this.#sinceMs ??= nowMs;
  }

  /** The phase at a moment. */
  phase(nowMs: number): StopPhase {
    if (this.#sinceMs === undefined) return "serving";
    const part = (nowMs - this.#sinceMs) / this.#graceMs();
    if (part >= EXIT_PART) return "ended";
    return part >= REFUSE_PART ? "refusing" : "leaving";
  }

  /** Whether the process may exit with this number of running requests. */
  mayExit(inProgress: number, nowMs: number): boolean {
    const phase = this.phase(nowMs);
    if (phase === "serving" || this.#sinceMs === undefined) return false;
    if (phase === "ended") return true;
    const part = (nowMs - this.#sinceMs) / this.#graceMs();
    return part >= LINGER_PART && inProgress === 0;
  }
}
