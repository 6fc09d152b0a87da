/**
 * Names of headers that callers and targets use. The decisions know none of
 * them, so another front end differs by its table only.
 *
 * @module
 */

/** Names of headers, in lower case. */
export interface HeaderNames {
  /** Identity of a caller's attempt; targets echo it. */
  readonly requestId: string;
  /** Milliseconds that the sender waits. */
  readonly timeoutMs: string;
  /** Object that a request concerns. */
  readonly objectKey: string;
  /** Organisation for which a target runs a request. */
  readonly organisation: string;
  /** Target that a request is meant for; any other one refuses it. */
  readonly targetId: string;
  /** Mark of a target's own answer; "" when targets set none. */
  readonly seal: string;
  /** Statement of a target that it did not run the request. */
  readonly notRun: string;
  /** Running requests, waiting requests and slots of a target. */
  readonly load: string;
  /** Milliseconds that a target stays cold. */
  readonly coldMs: string;
}
