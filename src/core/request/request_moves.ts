/**
 * Moves requests in progress to another target, or another host, when the one
 * that has them is silent or gone.
 *
 * @module
 */
import type { PipelineDependencies } from "./dependencies.ts";
import { isTargetSilent } from "./silent_target.ts";
import type { RequestEffect, RequestState } from "./types.ts";

/** What the moves need of the transition that they are part of. */
export interface RequestMovesOptions {
  readonly dependencies: PipelineDependencies;
  readonly nowMs: number;
  readonly emit: (effect: RequestEffect) => void;
  /** Aborts the attempt in flight. */
  readonly abort: (request: RequestState) => void;
  /** Starts another attempt. */
  readonly start: (request: RequestState) => void;
}

/** Checks silent targets and moves their requests. */
export class RequestMoves {
  readonly #options: RequestMovesOptions;

  constructor(options: RequestMovesOptions) {
    this.#options = options;
  }

  /**
   * Starts a connection check of a target that has responded to no request
   * since the attempt started. The attempt continues, as the target may only be
   * slow.
   */
  checkSilentTarget(
    { currentAttempt, hasResponseStarted }: RequestState,
  ): void {
    if (
      currentAttempt === undefined || hasResponseStarted ||
      currentAttempt.isCheckStarted
    ) {
      return;
    }
    if (!isTargetSilent(currentAttempt, this.#options.nowMs)) return;
    currentAttempt.isCheckStarted = true;
    const { target } = currentAttempt.handle.state;
    this.#options.emit({ type: "check_target", target });
  }

  /** Moves a relayed request when the other host is dead. */
  checkRelayHost(request: RequestState): void {
    const hostId = request.triedRelayHostIds.at(-1);
    if (hostId === undefined) return;
    if (this.#options.dependencies.isHostLive(hostId, this.#options.nowMs)) {
      return;
    }
    this.moveToOtherTarget(request);
  }

  /**
   * Sends a request to another target when its current target refuses
   * connections. A request that must not run twice keeps waiting, as its
   * response may still arrive on the connection that is already open.
   */
  moveToOtherTarget(request: RequestState): void {
    const { route, hasResponseStarted, service, maxAttempts } = request;
    if (hasResponseStarted || !route.idempotent) return;
    if (request.countedAttempts >= maxAttempts) return;
    if (!this.#hasOtherTarget(request)) return;
    if (
      !this.#options.dependencies.takeRetryToken(service, this.#options.nowMs)
    ) return;
    request.mayHaveRun = true;
    this.#options.abort(request);
    this.#options.start(request);
  }

  /** Whether the request can be sent again, to a target or another host. */
  #hasOtherTarget(request: RequestState): boolean {
    const dependencies = this.#options.dependencies;
    if (
      dependencies.findUsableTargets(request, this.#options.nowMs).length > 0
    ) {
      return true;
    }
    return !request.isRelayed && dependencies.isTargetPathLost() &&
      dependencies.chooseRelayHost(request, this.#options.nowMs) !== undefined;
  }
}
