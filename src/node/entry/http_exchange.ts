/**
 * A request of a caller and the response to it.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { RequestBody } from "../front/request_body.ts";
import type { RequestTarget } from "../front/request_target.ts";
import type { Attempt } from "../target/attempt.ts";
import type { AttemptResult } from "../target/types.ts";

/** State that the shell keeps for a request in progress. */
export interface HttpExchange {
  /** Identifier of the request in the pipeline, unique within the process. */
  readonly id: number;
  /** Request id from the caller's header, or a generated one. */
  readonly callerRequestId: string;
  /** Whether the id was generated, as the caller sent none. */
  readonly isIdGenerated: boolean;
  readonly target: RequestTarget;
  /** What is wrong with the request line or headers; "" if they are valid. */
  readonly malformation: string;
  /** Attempts that the host that relays the request allows. */
  readonly relayedAttempts: number | undefined;
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly startedMs: number;
  body: RequestBody | undefined;
  /** The in-flight attempt. */
  attempt: Attempt | undefined;
  /** Result of the last attempt that ended. */
  result: AttemptResult | undefined;
  /** "" until a target is chosen or the request is refused. */
  routeId: string;
  /** Value of the metrics label `end`; "" until the request ends. */
  end: string;
}
