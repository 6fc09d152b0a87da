/**
 * Writes responses to callers: responses of targets, refusals, and JSON of the
 * host's own endpoints.
 *
 * @module
 */
import { type ServerResponse, STATUS_CODES } from "node:http";
import type { Refusal } from "../../core/errors.ts";
import { RAN_HEADER } from "../header_names.ts";
import type { BufferedResponse, ResponseHead } from "../target/types.ts";
import { filterResponseHeaders } from "./headers.ts";

/** Options of a response to a caller. */
export interface ResponseOptions {
  /** Whether to ask the caller to close the connection after the response. */
  readonly closesConnection: boolean;
}

/** Writes a buffered response of a target. */
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

/**
 * Writes the head of a response that is streamed. The chunks of the body are
 * written to `res` as they arrive.
 */
export function startStreamedResponse(
  res: ServerResponse,
  head: ResponseHead,
  options: ResponseOptions,
): void {
  const headers = filterResponseHeaders(head.rawHeaders);
  const length = findContentLength(head);
  if (length !== undefined) headers.push("content-length", length);
  else if (!endsWithConnection(res, head)) {
    headers.push("transfer-encoding", "chunked");
  }
  writeHead(res, head, headers, options);
}

/**
 * Whether the end of the connection marks the end of a streamed response, as a
 * caller of HTTP/1.0 cannot read chunks.
 */
export function endsWithConnection(
  { req }: ServerResponse,
  head: ResponseHead,
): boolean {
  return findContentLength(head) === undefined && req.httpVersion === "1.0";
}

/**
 * Breaks off a response whose head was written. A caller of HTTP/1.0 would take
 * the orderly end of the connection for the end of a body without length.
 */
export function breakOffResponse(res: ServerResponse): void {
  if (res.req.httpVersion === "1.0") res.socket?.resetAndDestroy();
  res.destroy();
}

/** Writes a refusal, with its details as JSON. */
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
    [RAN_HEADER]: ran,
    ...options.extraHeaders,
  };
  if (retryAfterMs > 0) {
    headers["retry-after"] = (retryAfterMs / 1_000).toFixed(3);
  }
  if (options.closesConnection) headers["connection"] = "close";
  // A response that a target's reason phrase made invalid still holds it.
  res.writeHead(status, STATUS_CODES[status] ?? "", headers);
  res.end(body);
}

/** Writes a JSON response of one of the host's own endpoints. */
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
  // The target's response is passed on without an added `date` header.
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
