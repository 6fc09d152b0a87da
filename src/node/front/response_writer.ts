/**
 * Writing of answers to callers.
 *
 * @module
 */
import type { ServerResponse } from "node:http";
import type { Refusal } from "../../core/errors.ts";
import type { BufferedResponse, ResponseHead } from "../target/types.ts";
import { filterResponseHeaders } from "./headers.ts";

/** Options of an answer. */
export interface ResponseOptions {
  /** Whether the caller should close the connection after the answer. */
  readonly closesConnection: boolean;
}

/** Passes a target's whole answer on. */
export function writeBufferedResponse(
  res: ServerResponse,
  { head, body }: BufferedResponse,
  options: ResponseOptions,
): void {
  const headers = filterResponseHeaders(head.rawHeaders);
  const isHead = res.req.method === "HEAD";
  const length = isHead ? findContentLength(head) : String(body.length);
  const hasLength = head.status !== 204 && head.status !== 304;
  if (length !== undefined && hasLength) headers.push("content-length", length);
  writeHead(res, head, headers, options);
  res.end(isHead ? undefined : body);
}

/** Starts to pass on an answer in parts. */
export function startStreamedResponse(
  res: ServerResponse,
  head: ResponseHead,
  options: ResponseOptions,
): void {
  const headers = filterResponseHeaders(head.rawHeaders);
  const length = findContentLength(head);
  if (length !== undefined) headers.push("content-length", length);
  else headers.push("transfer-encoding", "chunked");
  writeHead(res, head, headers, options);
}

/** Writes this system's own refusal. */
export function writeRefusal(
  res: ServerResponse,
  refusal: Refusal,
  options: ResponseOptions & { extraHeaders?: Record<string, string> },
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
  if (options.closesConnection) headers["connection"] = "close";
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
  { status, statusText }: ResponseHead,
  headers: string[],
  { closesConnection }: ResponseOptions,
): void {
  // The target's answer is passed on unchanged, without a date of our own.
  res.sendDate = false;
  if (closesConnection) headers.push("connection", "close");
  res.writeHead(status, statusText, headers);
}

function findContentLength({ rawHeaders }: ResponseHead): string | undefined {
  for (let i = 0; i < rawHeaders.length; i += 2) {
    if (rawHeaders[i].toLowerCase() === "content-length") {
      return rawHeaders[i + 1];
    }
  }
  return undefined;
}
