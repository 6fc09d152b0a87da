/**
 * One request of a caller with its answer.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { RequestBody } from "../front/request_body.ts";
import type { Attempt } from "../target/attempt.ts";
import type { AttemptResult } from "../target/types.ts";

/** State of a request in the shell. */
export interface Exchange {
  /** Identity within this process. */
  readonly id: number;
  /** Identity that the caller gave, or one of this process. */
  readonly callerId: string;
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly startedMs: number;
  body: RequestBody | undefined;
  attempt: Attempt | undefined;
  /** Result of the last attempt, until it is delivered. */
  result: AttemptResult | undefined;
  routeId: string;
  /** How the request ended, for log and metrics. */
  end: string;
}
