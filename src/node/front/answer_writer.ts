/**
 * Writing of answers to callers.
 *
 * @module
 */
import type { ServerResponse } from "node:http";
import type { Refusal } from "../../core/errors.ts";
import type { AnswerHead, WholeAnswer } from "../target/types.ts";
import { answerHeaders } from "./headers.ts";

/** Options of an answer. */
export interface AnswerOptions {
  /** Whether the caller should close the connection after the answer. */
  readonly closes: boolean;
}

/** Passes a target's whole answer on. */
export function writeAnswer(
  res: ServerResponse,
  { head, body }: WholeAnswer,
  options: AnswerOptions,
): void {
  const headers = answerHeaders(head.rawHeaders);
  const isHead = res.req.method === "HEAD";
  const length = isHead ? lengthOf(head) : String(body.length);
  const hasLength = head.status !== 204 && head.status !== 304;
  if (length !== undefined && hasLength) headers.push("content-length", length);
  writeHead(res, head, headers, options);
  res.end(isHead ? undefined : body);
}

/** Starts to pass on an answer in parts. */
export function startAnswer(
  res: ServerResponse,
  head: AnswerHead,
  options: AnswerOptions,
): void {
  const headers = answerHeaders(head.rawHeaders);
  const length = lengthOf(head);
  if (length !== undefined) headers.push("content-length", length);
  else headers.push("transfer-encoding", "chunked");
  writeHead(res, head, headers, options);
}

/** Writes this system's own refusal. */
export function writeRefusal(
  res: ServerResponse,
  refusal: Refusal,
  options: AnswerOptions & { extraHeaders?: Record<string, string> },
): void {
  const { kind, status, ran, message, retryAfterMs } = refusal;
  const body = Buffer.from(
    JSON.stringify({ error: { kind, message, ran, retryAfterMs } }),
  );
  const headers: Record<string, string> = {
    "content-type": "application/json",
    "content-length": String(body.length),
    "x-cranberry-ran": ran,
    ...options.extraHeaders,
  };
  if (retryAfterMs > 0) {
    headers["retry-after"] = (retryAfterMs / 1_000).toFixed(3);
  }
  if (options.closes) headers["connection"] = "close";
  res.writeHead(status, headers);
  res.end(body);
}

/** Writes a JSON answer of this system's own interface. */
export function writeJson(
  res: ServerResponse,
  status: number,
  value: unknown,
): void {
  const body = Buffer.from(JSON.stringify(value));
  res.writeHead(status, {
    "content-type": "application/json",
    "content-length": String(body.length),
  });
  res.end(body);
}

function writeHead(
  res: ServerResponse,
  { status, statusText }: AnswerHead,
  headers: string[],
  { closes }: AnswerOptions,
): void {
  // The target's answer is passed on unchanged, without a date of our own.
  res.sendDate = false;
  if (closes) headers.push("connection", "close");
  res.writeHead(status, statusText, headers);
}

function lengthOf({ rawHeaders }: AnswerHead): string | undefined {
  for (let i = 0; i < rawHeaders.length; i += 2) {
    if (rawHeaders[i].toLowerCase() === "content-length") {
      return rawHeaders[i + 1];
    }
  }
  return undefined;
}
