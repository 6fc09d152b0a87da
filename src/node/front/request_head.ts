/**
 * Reads the request line and headers of a caller's request.
 *
 * @module
 */
import { createHash } from "node:crypto";
import type { IncomingMessage } from "node:http";
import type { HeaderNames } from "../header_names.ts";
import { parseRequestTarget, type RequestTarget } from "./request_target.ts";

/** What identifies a request. */
export interface RequestHead {
  /** Id in the caller's header; `undefined` if there is no valid one. */
  readonly requestId: string | undefined;
  readonly target: RequestTarget;
  /** What is wrong with the request line or headers; "" if they are valid. */
  readonly malformation: string;
}

/** Reads what identifies a request, and checks it. */
export function readRequestHead(
  req: IncomingMessage,
  headerNames: HeaderNames,
): RequestHead {
  const ids = req.headersDistinct[headerNames.requestId] ?? [];
  const target = parseRequestTarget(req.url ?? "/", req.headers.host ?? "");
  const timeoutMs = Number(findHeader(req, headerNames.timeoutMs) ?? 0);
  let malformation = "";
  if (target === undefined) {
    malformation = "the request target is neither a path nor an HTTP URI";
  } else if (ids.length > 1) malformation = "the request has several ids";
  else if (ids[0] === "") malformation = "the request id is empty";
  else if (!Number.isFinite(timeoutMs)) {
    malformation = "the deadline is not a number";
  }
  return {
    requestId: ids.length === 1 && ids[0] !== "" ? ids[0] : undefined,
    target: target ?? { host: "", path: req.url ?? "/" },
    malformation,
  };
}

const BEARER_TOKEN = /^Bearer +(\S+) *$/i;

/** Returns the SHA-256 of the caller's API key in hex; "" without a key. */
export function hashApiKey(authorization: string | undefined): string {
  const match = BEARER_TOKEN.exec(authorization ?? "");
  if (match === null) return "";
  return createHash("sha256").update(match[1]).digest("hex");
}

/** Returns the first value of a header. */
export function findHeader(
  req: IncomingMessage,
  name: string,
): string | undefined {
  const value = req.headers[name];
  return Array.isArray(value) ? value[0] : value;
}
