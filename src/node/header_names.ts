/**
 * Names of the headers that callers and targets use. The core does not
 * use them, so another front end only needs a table of its own.
 *
 * @module
 */

/** Header of a host's own refusals: whether the request may have run. */
export const RAN_HEADER = "x-cranberry-ran";

/** Header names in lower case. */
export interface HeaderNames {
  /** Id of a request, which targets echo; a caller's retry has another one. */
  readonly requestId: string;
  /** Time in milliseconds for which the sender waits for the response. */
  readonly timeoutMs: string;
  /** Affinity key: names the object that a request concerns. */
  readonly affinityKey: string;
  /** Organisation on whose behalf a target runs a request. */
  readonly organisation: string;
  /** Id of the target that a request is meant for; any other refuses it. */
  readonly targetId: string;
  /** Present on a target's own responses; "" if targets do not set it. */
  readonly seal: string;
  /** Present on a response if the target did not run the request. */
  readonly notRun: string;
  /** Running requests, queued requests and slots of a target. */
  readonly load: string;
  /** Requests per second that a target accepts from all hosts together. */
  readonly limitPerS: string;
  /** Present with the value 1 on all responses of a target that is leaving. */
  readonly leaving: string;
  /**
   * Seconds for which a target that responds with 503 wants no requests from the
   * host.
   */
  readonly retryAfterS: string;
  /** Remaining cold start of a target in milliseconds. */
  readonly coldForMs: string;
}
