/**
 * The closed list of error kinds and the one table from kind to answer.
 *
 * @module
 */
import type { Random } from "./types.ts";

/** Whether a request may have run on a target. */
export type Ran = "no" | "unknown";

/** What a caller is told for one error kind. */
export interface ErrorAnswer {
  /** HTTP status of the answer. */
  readonly status: number;
  /** Whether the request ran, as far as this kind alone decides it. */
  readonly ran: Ran;
  /** Base of the delay before a retry, in milliseconds; 0 means that a retry does not help. */
  readonly retryAfterMs: number;
  /** What the caller should do next, for the answer's body and the callers' page. */
  readonly advice: string;
}

/**
 * The answer for each error kind. The statuses 429 and 503 promise that the
 * request has not run and never will.
 */
export const ERROR_ANSWERS = {
  bad_request: {
    status: 400,
    ran: "no",
    retryAfterMs: 0,
    advice: "Correct the request.",
  },
  header_too_large: {
    status: 431,
    ran: "no",
    retryAfterMs: 0,
    advice: "Send smaller headers.",
  },
  key_missing: {
    status: 401,
    ran: "no",
    retryAfterMs: 0,
    advice: "Send the key as 'authorization: Bearer <key>'.",
  },
  key_rejected: {
    status: 401,
    ran: "no",
    retryAfterMs: 0,
    advice: "The key is unknown or revoked. Ask the operators for a new one.",
  },
  route_unknown: {
    status: 404,
    ran: "no",
    retryAfterMs: 0,
    advice: "No route has this host and path.",
  },
  body_too_large: {
    status: 413,
    ran: "no",
    retryAfterMs: 0,
    advice: "Send a smaller body.",
  },
  over_rate: {
    status: 429,
    ran: "no",
    retryAfterMs: 500,
    advice: "The organisation is over its rate. Retry after the delay.",
  },
  request_blocked: {
    status: 503,
    ran: "no",
    retryAfterMs: 5_000,
    advice: "Requests like this one crashed several targets. Do not resend it.",
  },
  no_room: {
    status: 503,
    ran: "no",
    retryAfterMs: 300,
    advice: "No target can answer in time. Retry after the delay.",
  },
  no_target: {
    status: 503,
    ran: "no",
    retryAfterMs: 300,
    advice: "No target of this service can be used. Retry after the delay.",
  },
  deadline_not_run: {
    status: 503,
    ran: "no",
    retryAfterMs: 0,
    advice: "The deadline passed before the request was sent to a target.",
  },
  deadline_unknown: {
    status: 504,
    ran: "unknown",
    retryAfterMs: 0,
    advice: "The deadline passed while a target held the request.",
  },
  target_failed: {
    status: 502,
    ran: "unknown",
    retryAfterMs: 0,
    advice: "The target failed after the request was sent to it.",
  },
  host_leaving: {
    status: 503,
    ran: "no",
    retryAfterMs: 50,
    advice: "This host is stopping. Use another host.",
  },
  host_starting: {
    status: 503,
    ran: "no",
    retryAfterMs: 300,
    advice: "This host has no configuration yet. Use another host.",
  },
  internal: {
    status: 500,
    ran: "unknown",
    retryAfterMs: 0,
    advice: "The host met an unexpected error.",
  },
} as const satisfies Record<string, ErrorAnswer>;

/** One of the closed list of error kinds. */
export type ErrorKind = keyof typeof ERROR_ANSWERS;

/** A refusal as the caller receives it. */
export interface Refusal {
  readonly kind: ErrorKind;
  readonly status: number;
  readonly ran: Ran;
  readonly message: string;
  /** Delay before a retry in milliseconds; 0 means that a retry does not help. */
  readonly retryAfterMs: number;
}

/** Spread of the delays, so that refused callers do not return together. */
const RETRY_AFTER_SPREAD = 0.5;

/**
 * Builds the refusal for an error kind.
 *
 * @param options `retryAfterMs` replaces the base delay of the table.
 */
export function refusalFor(
  kind: ErrorKind,
  random: Random,
  options: { retryAfterMs?: number } = {},
): Refusal {
  const answer: ErrorAnswer = ERROR_ANSWERS[kind];
  const baseMs = options.retryAfterMs ?? answer.retryAfterMs;
  const spread = 1 - RETRY_AFTER_SPREAD / 2 + RETRY_AFTER_SPREAD * random();
  return {
    kind,
    status: answer.status,
    ran: answer.ran,
    message: answer.advice,
    retryAfterMs: baseMs === 0 ? 0 : Math.ceil(baseMs * spread),
  };
}

/**
 * The kind that is true for a request that may have run: kinds that promise
 * the contrary are replaced.
 */
export function kindAfterSend(kind: ErrorKind): ErrorKind {
  if (ERROR_ANSWERS[kind].ran === "unknown") return kind;
  return kind === "deadline_not_run" ? "deadline_unknown" : "target_failed";
}
