/**
 * The closed list of error kinds and the response to the caller for each.
 *
 * @module
 */
import type { Random } from "./types.ts";

/** Whether a request ran on a target: certainly not, or possibly. */
export type ExecutionState = "no" | "unknown";

/** Response to the caller for one error kind. */
export interface ErrorResponse {
  readonly status: number;
  /** Whether the request may have run, judged by the kind alone. */
  readonly ran: ExecutionState;
  /**
   * Delay before a retry in milliseconds, before jitter; 0 if it does not help.
   */
  readonly retryAfterMs: number;
  /** Cause of the error and the caller's next step, for the response body. */
  readonly message: string;
}

/**
 * The response for each error kind. Status 408, 429 or 503 guarantees that
 * the request has not run and will not run later.
 */
export const ERROR_RESPONSES = {
  bad_request: {
    status: 400,
    ran: "no",
    retryAfterMs: 0,
    message: "The request is malformed. Correct it before sending it again.",
  },
  method_unsupported: {
    status: 501,
    ran: "no",
    retryAfterMs: 0,
    message: "The method is not supported. Use another one.",
  },
  request_timeout: {
    status: 408,
    ran: "no",
    retryAfterMs: 0,
    message: "The request headers took too long to arrive. Send them again.",
  },
  header_too_large: {
    status: 431,
    ran: "no",
    retryAfterMs: 0,
    message: "The request headers are too large. Send smaller headers.",
  },
  key_missing: {
    status: 401,
    ran: "no",
    retryAfterMs: 0,
    message: "The route requires a key. Send 'authorization: Bearer <key>'.",
  },
  key_rejected: {
    status: 401,
    ran: "no",
    retryAfterMs: 0,
    message: "The key is unknown or revoked. Ask the operators for a new one.",
  },
  route_unknown: {
    status: 404,
    ran: "no",
    retryAfterMs: 0,
    message: "No route matches this host and path.",
  },
  body_too_large: {
    status: 413,
    ran: "no",
    retryAfterMs: 0,
    message: "The request body is too large. Send a smaller body.",
  },
  over_rate: {
    status: 429,
    ran: "no",
    retryAfterMs: 500,
    message: "The organisation has exceeded its rate. Retry after the delay.",
  },
  request_blocked: {
    status: 503,
    ran: "no",
    retryAfterMs: 5_000,
    message:
      "Requests like this one crashed several targets. Do not resend it.",
  },
  no_room: {
    status: 503,
    ran: "no",
    retryAfterMs: 300,
    message: "No target can respond in time. Retry after the delay.",
  },
  host_full: {
    status: 503,
    ran: "no",
    retryAfterMs: 300,
    message: "This host is at its limit. Use another host.",
  },
  no_target: {
    status: 503,
    ran: "no",
    retryAfterMs: 300,
    message: "No target of this service is available. Retry after the delay.",
  },
  deadline_not_run: {
    status: 503,
    ran: "no",
    retryAfterMs: 0,
    message: "The deadline passed before the request was sent to a target.",
  },
  deadline_unknown: {
    status: 504,
    ran: "unknown",
    retryAfterMs: 0,
    message: "The deadline passed after the request was sent to a target.",
  },
  target_failed: {
    status: 502,
    ran: "unknown",
    retryAfterMs: 0,
    message: "The target failed after the request was sent to it.",
  },
  host_leaving: {
    status: 503,
    ran: "no",
    retryAfterMs: 50,
    message: "This host is stopping. Use another host.",
  },
  host_starting: {
    status: 503,
    ran: "no",
    retryAfterMs: 300,
    message: "This host has no configuration yet. Use another host.",
  },
  internal: {
    status: 500,
    ran: "unknown",
    retryAfterMs: 0,
    message: "The host encountered an unexpected error.",
  },
} as const satisfies Record<string, ErrorResponse>;

/** Name of an error kind, as sent to callers and used in logs and metrics. */
export type ErrorKind = keyof typeof ERROR_RESPONSES;

/** An error response to one caller. */
export interface Refusal {
  readonly kind: ErrorKind;
  readonly status: number;
  readonly ran: ExecutionState;
  readonly message: string;
  /** Delay before a retry in milliseconds; 0 if a retry does not help. */
  readonly retryAfterMs: number;
}

/**
 * Width of the random range of a delay as a fraction of the delay, so that
 * refused callers do not all retry at the same time.
 */
const RETRY_AFTER_JITTER_FRACTION = 0.5;

/**
 * Creates the refusal for an error kind.
 *
 * @param options `retryAfterMs` replaces the delay of the table, before jitter.
 */
export function createRefusal(
  kind: ErrorKind,
  random: Random,
  options: { retryAfterMs?: number } = {},
): Refusal {
  const response: ErrorResponse = ERROR_RESPONSES[kind];
  const baseMs = options.retryAfterMs ?? response.retryAfterMs;
  const jitterFactor = 1 - RETRY_AFTER_JITTER_FRACTION / 2 +
    RETRY_AFTER_JITTER_FRACTION * random();
  return {
    kind,
    status: response.status,
    ran: response.ran,
    message: response.message,
    retryAfterMs: baseMs === 0 ? 0 : Math.ceil(baseMs * jitterFactor),
  };
}

/**
 * Replaces a kind that guarantees that the request has not run by one that
 * leaves it open, for requests that a target may have run.
 */
export function replaceNotRunKind(kind: ErrorKind): ErrorKind {
  if (ERROR_RESPONSES[kind].ran === "unknown") return kind;
  return kind === "deadline_not_run" ? "deadline_unknown" : "target_failed";
}
