/**
 * Types of the exchange with targets.
 *
 * @module
 */
import type { AttemptEnd } from "../../core/targets/types.ts";
import type { UnreadFigures } from "./stated_figures.ts";

/** Status line and headers of a response. */
export interface ResponseHead {
  readonly status: number;
  readonly statusText: string;
  /** Header names and values in turn, as received. */
  readonly rawHeaders: readonly string[];
  /** What marks the end of the body; "none" without a body. */
  readonly framing: "none" | "length" | "chunks" | "close";
  /** Whether the target closes the connection after the response. */
  readonly closesConnection: boolean;
  /**
   * Time for which the target keeps an idle connection open; -1 if its
   * response does not state one.
   */
  readonly keepAliveMs: number;
}

/** A response that was received completely before it is passed on. */
export interface BufferedResponse {
  readonly head: ResponseHead;
  readonly body: Buffer;
}

/** Result of an attempt, with the response for the caller. */
export interface AttemptResult {
  readonly end: AttemptEnd;
  /** Whether a byte of the request may have reached the target. */
  readonly mayHaveReachedTarget: boolean;
  /** The response; `undefined` if there is none or if it was streamed. */
  readonly response: BufferedResponse | undefined;
  /** Bytes of the response's body that were received, streamed or not. */
  readonly receivedBytes: number;
  /** Headers of the response of which a part was not read. */
  readonly unreadFigures: readonly UnreadFigures[];
  /** Description of the result for the log. */
  readonly detail: string;
}
