/**
 * Readiness of this host for requests.
 *
 * @module
 */
import type { RefusalReason } from "../request/types.ts";
import type { StopPhase } from "../stop/graceful_stop.ts";
import type { HostState } from "./types.ts";

/** What the readiness depends on. */
export interface HostReadinessInputs {
  /** Phase of the graceful stop. */
  readonly stopPhase: (nowMs: number) => StopPhase;
  readonly hasDocument: () => boolean;
  /** Whether the host knows enough of the others to serve; see `mayServe`. */
  readonly isInformed: (nowMs: number) => boolean;
}

/** Decides whether this host is ready and whether it refuses all requests. */
export class HostReadiness {
  readonly #inputs: HostReadinessInputs;

  constructor(inputs: HostReadinessInputs) {
    this.#inputs = inputs;
  }

  /** The state that the host reports to others. */
  stateAt(nowMs: number): HostState {
    const { stopPhase, hasDocument, isInformed } = this.#inputs;
    if (stopPhase(nowMs) !== "serving") return "leaving";
    return hasDocument() && isInformed(nowMs) ? "ready" : "starting";
  }

  /** Why the host refuses all requests; `undefined` if it does not. */
  findRefusal(nowMs: number): RefusalReason | undefined {
    const { stopPhase, isInformed } = this.#inputs;
    const phase = stopPhase(nowMs);
    if (phase === "refusing" || phase === "ended") {
      return { kind: "host_leaving", reason: "this host is stopping" };
    }
    return isInformed(nowMs) ? undefined : {
      kind: "host_starting",
      reason: "no other host has reported to this one yet",
    };
  }
}
