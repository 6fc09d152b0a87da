/**
 * Strict incremental parser of HTTP/1.1 responses.
 *
 * The parsers at hand do not fit: undici and Node.js's client can't skip an
 * answer that belongs to an earlier request, and http-parser-js takes a
 * malformed chunk length as the end of the body, which would make a broken
 * answer look complete.
 *
 * @module
 */
import type { ResponseHead } from "./types.ts";

const MAX_HEAD_BYTES = 65_536;
const MAX_LINE_BYTES = 16_384;
const LF = 0x0a;
const CR = 0x0d;

const STATUS_LINE = /^HTTP\/1\.([01]) ([1-5]\d\d)(?: ([^\0\r\n]*))?$/;
const HEADER_LINE =
  /^([!#$%&'*+\-.^_`|~0-9A-Za-z]+):[ \t]*([^\0\r\n]*?)[ \t]*$/;
const CHUNK_LINE = /^([0-9A-Fa-f]{1,8})[ \t]*(?:;[^\0\r\n]*)?$/;
const CONTENT_LENGTH = /^\d{1,15}$/;
const KEEP_ALIVE_TIMEOUT = /(?:^|[\s,;])timeout=(\d{1,6})(?:$|[\s,;])/i;

/** The bytes are no answer in the protocol. */
export class ResponseError extends Error {}

/** What the parser tells. */
export interface ResponseListener {
  /** The start of an answer, interim ones (1xx) left out. */
  onHead(head: ResponseHead): void;
  onBody(chunk: Buffer): void;
  onEnd(): void;
}

type ParserState =
  | "status"
  | "headers"
  | "sized"
  | "chunk_line"
  | "chunk"
  | "chunk_end"
  | "trailers"
  | "until_close";

/** Parses the answers on one connection. */
export class ResponseParser {
  #listener: ResponseListener;
  #state: ParserState = "status";
  #lineParts: Buffer[] = [];
  #lineBytes = 0;
  #headBytes = 0;
  #remainingBytes = 0;
  #status = 0;
  #statusText = "";
  #minorVersion = 1;
  #rawHeaders: string[] = [];
  /** Method of the request that waits; HEAD has answers without a body. */
  method = "GET";

  constructor(events: ResponseListener) {
    this.#listener = events;
  }

  /** Whether no answer is half received. */
  get isBetweenResponses(): boolean {
    return this.#state === "status" && this.#lineBytes === 0;
  }

  /**
   * Parses received bytes.
   *
   * @throws {ResponseError}
   */
  push(chunk: Buffer): void {
    let at = 0;
    while (at < chunk.length) {
      switch (this.#state) {
        case "sized":
        case "chunk":
          at = this.#readBody(chunk, at);
          break;
        case "until_close":
          this.#listener.onBody(chunk.subarray(at));
          at = chunk.length;
          break;
        default:
          at = this.#readLine(chunk, at);
      }
    }
  }

  /**
   * Notes that the target has closed its side in good order.
   *
   * @throws {ResponseError} When an answer is not complete.
   */
  close(): void {
    if (this.#state === "until_close") {
      this.#state = "status";
      this.#listener.onEnd();
    } else if (!this.isBetweenResponses) {
      throw new ResponseError("the connection ended within an answer");
    }
  }

  #readBody(chunk: Buffer, at: number): number {
    const end = Math.min(chunk.length, at + this.#remainingBytes);
    this.#remainingBytes -= end - at;
    const part = chunk.subarray(at, end);
    if (this.#state === "chunk") {
      if (this.#remainingBytes === 0) this.#state = "chunk_end";
      this.#listener.onBody(part);
    } else {
      this.#listener.onBody(part);
      if (this.#remainingBytes === 0) this.#finishResponse();
    }
    return end;
  }

  #readLine(chunk: Buffer, at: number): number {
    const lf = chunk.indexOf(LF, at);
    const end = lf < 0 ? chunk.length : lf + 1;
    this.#lineParts.push(chunk.subarray(at, end));
    this.#lineBytes += end - at;
    if (this.#lineBytes > MAX_LINE_BYTES) {
      throw new ResponseError("a line is too long");
    }
    if (lf < 0) return end;
    const bytes = this.#lineParts.length === 1
      ? this.#lineParts[0]
      : Buffer.concat(this.#lineParts);
    this.#lineParts = [];
    this.#lineBytes = 0;
    if (bytes.length < 2 || bytes[bytes.length - 2] !== CR) {
      throw new ResponseError("a line does not end with CR LF");
    }
    this.#parseLine(bytes.toString("latin1", 0, bytes.length - 2));
    return end;
  }

  #parseLine(line: string): void {
    switch (this.#state) {
      case "status":
        return this.#parseStatus(line);
      case "headers":
      case "trailers":
        return this.#parseHeader(line);
      case "chunk_line":
        return this.#parseChunkLine(line);
      case "chunk_end":
        if (line !== "") throw new ResponseError("a chunk has a wrong length");
        this.#state = "chunk_line";
    }
  }

  #parseStatus(line: string): void {
    const match = STATUS_LINE.exec(line);
    if (match === null) throw new ResponseError("not a status line");
    this.#minorVersion = Number(match[1]);
    this.#status = Number(match[2]);
    this.#statusText = match[3] ?? "";
    this.#rawHeaders = [];
    this.#headBytes = line.length;
    this.#state = "headers";
  }

  #parseHeader(line: string): void {
    this.#headBytes += line.length;
    if (this.#headBytes > MAX_HEAD_BYTES) {
      throw new ResponseError("the headers are too large");
    }
    if (line === "") {
      if (this.#state === "trailers") this.#finishResponse();
      else this.#finishHead();
      return;
    }
    const match = HEADER_LINE.exec(line);
    if (match === null) throw new ResponseError("not a header line");
    // Trailers say nothing that is passed on.
    if (this.#state === "headers") this.#rawHeaders.push(match[1], match[2]);
  }

  #parseChunkLine(line: string): void {
    const match = CHUNK_LINE.exec(line);
    if (match === null) throw new ResponseError("not a chunk length");
    this.#remainingBytes = parseInt(match[1], 16);
    this.#state = this.#remainingBytes === 0 ? "trailers" : "chunk";
    this.#headBytes = 0;
  }

  #finishHead(): void {
    const framing = parseFramingHeaders(this.#rawHeaders);
    if (this.#status < 200) {
      if (this.#status === 101) throw new ResponseError("unwanted upgrade");
      this.#state = "status";
      return;
    }
    const hasBody = this.method !== "HEAD" && this.#status !== 204 &&
      this.#status !== 304;
    const untilClose = hasBody && !framing.chunked && framing.length < 0;
    const persistent = this.#minorVersion === 1
      ? !framing.connection.includes("close")
      : framing.connection.includes("keep-alive");
    this.#state = !hasBody || framing.length === 0
      ? "status"
      : framing.chunked
      ? "chunk_line"
      : untilClose
      ? "until_close"
      : "sized";
    this.#remainingBytes = Math.max(0, framing.length);
    this.#listener.onHead({
      status: this.#status,
      statusText: this.#statusText,
      rawHeaders: this.#rawHeaders,
      framing: !hasBody
        ? "none"
        : untilClose
        ? "close"
        : framing.chunked
        ? "chunks"
        : "length",
      closesConnection: untilClose || !persistent,
      keepAliveMs: framing.keepAliveMs,
    });
    if (this.#state === "status") this.#listener.onEnd();
  }

  #finishResponse(): void {
    this.#state = "status";
    this.#listener.onEnd();
  }
}

interface FramingHeaders {
  chunked: boolean;
  length: number;
  connection: string;
  keepAliveMs: number;
}

function parseFramingHeaders(rawHeaders: readonly string[]): FramingHeaders {
  const framing: FramingHeaders = {
    chunked: false,
    length: -1,
    connection: "",
    keepAliveMs: -1,
  };
  for (let i = 0; i < rawHeaders.length; i += 2) {
    const value = rawHeaders[i + 1];
    switch (rawHeaders[i].toLowerCase()) {
      case "content-length": {
        const length = CONTENT_LENGTH.test(value) ? Number(value) : NaN;
        if (framing.length >= 0 && framing.length !== length) {
          throw new ResponseError("two lengths of the body");
        }
        if (Number.isNaN(length)) throw new ResponseError("not a length");
        framing.length = length;
        break;
      }
      case "transfer-encoding":
        if (value.toLowerCase() !== "chunked" || framing.chunked) {
          throw new ResponseError("unknown transfer encoding");
        }
        framing.chunked = true;
        break;
      case "connection":
        framing.connection += ` ${value.toLowerCase()}`;
        break;
      case "keep-alive": {
        const timeout = KEEP_ALIVE_TIMEOUT.exec(value);
        if (timeout !== null) framing.keepAliveMs = Number(timeout[1]) * 1_000;
      }
    }
  }
  if (framing.chunked && framing.length >= 0) {
    throw new ResponseError("both a length and chunks");
  }
  return framing;
}
