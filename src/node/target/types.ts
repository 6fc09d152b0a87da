/**
 * Types of the exchange with targets.
 *
 * @module
 */
import type { AttemptEnd } from "../../core/targets/types.ts";

/** Start of an answer. */
export interface ResponseHead {
  readonly status: number;
  readonly statusText: string;
  /** Names and values by turns, as received. */
  readonly rawHeaders: readonly string[];
  /** How the end of the body is told. */
  readonly framing: "none" | "length" | "chunks" | "close";
  /** Whether the connection ends with the answer. */
  readonly closesConnection: boolean;
  /** Time that the target keeps an idle connection; -1 when not stated. */
  readonly keepAliveMs: number;
}

/** An answer that was received whole. */
export interface BufferedResponse {
  readonly head: ResponseHead;
  readonly body: Buffer;
}

/** How an attempt ended. */
export interface AttemptResult {
  readonly end: AttemptEnd;
  /** Whether a byte of the request may have reached the target. */
  readonly sent: boolean;
  /** The answer, unless there is none or it was passed on in parts. */
  readonly response: BufferedResponse | undefined;
  /** What happened, for the log. */
  readonly detail: string;
}
