/**
 * Strict incremental parser of HTTP/1.1 responses.
 *
 * Existing parsers are not suitable: undici and Node.js's client cannot skip a
 * response that belongs to an earlier request, and http-parser-js treats a
 * malformed chunk size as the end of the body, so that a broken response looks
 * complete.
 *
 * @module
 */
import { ByteBuffer } from "../byte_buffer.ts";
import { parseFramingHeaders, ResponseError } from "./framing_headers.ts";
import type { ResponseHead } from "./types.ts";

const MAX_HEAD_BYTES = 65_536;
const MAX_LINE_BYTES = 16_384;
/**
 * Bytes by which chunk sizes, extensions and line ends of a response may exceed
 * its body. Chunks of a byte or long extensions would keep a host busy with bytes
 * that are no body.
 */
const MAX_EXCESS_FRAMING_BYTES = 65_536;
/** Bytes of a chunk besides its size, its extensions and its data. */
const CHUNK_LINE_ENDS_BYTES = 4;
/** Digits of the largest chunk size. */
const MAX_CHUNK_SIZE_DIGITS = 8;
/** Parts of a body from this size on are passed on without a copy. */
const MIN_DIRECT_PART_BYTES = 4_096;
/** Interim responses before a final one; more of them are no response. */
const MAX_INTERIM_RESPONSES = 16;
const LF = 0x0a;
const CR = 0x0d;

// Text holds tabs and the bytes 0x20 to 0x7e and 0x80 to 0xff, as in RFC 9110
// section 5.5. Node.js throws when a head with any other byte is passed on.
const STATUS_LINE =
  /^HTTP\/1\.([01]) ([1-5]\d\d)(?: ([\t\x20-\x7e\x80-\xff]*))?$/;
// The blanks around the value are removed apart: an expression that matches them
// here as well would take time with the square of their number.
const HEADER_LINE =
  /^([!#$%&'*+\-.^_`|~0-9A-Za-z]+):([\t\x20-\x7e\x80-\xff]*)$/;
const CHUNK_SIZE_LINE =
  /^([0-9A-Fa-f]{1,8})[ \t]*(?:;[\t\x20-\x7e\x80-\xff]*)?$/;

/** Receives the parsed parts of responses. */
export interface ResponseListener {
  /** The head of a final response; interim ones (1xx) are skipped. */
  onHead(head: ResponseHead): void;
  onBody(chunk: Buffer): void;
  onEnd(): void;
}

/** Part of a response that the parser expects next. */
type ParserState =
  | "status"
  | "headers"
  | "sized"
  | "chunk_size"
  | "chunk"
  | "chunk_end"
  | "trailers"
  | "until_close";

/** Parses the responses on one connection. */
export class ResponseParser {
  #listener: ResponseListener;
  #state: ParserState = "status";
  #lineParts: Buffer[] = [];
  #lineBytes = 0;
  #headBytes = 0;
  /** Bytes of the body or the chunk that are still to come. */
  #remainingBytes = 0;
  /** Bytes of the chunked framing of a response minus those of its body. */
  #excessFramingBytes = 0;
  /**
   * Bytes of small chunks, which are passed on together, as a target may send
   * thousands of them in one read.
   */
  readonly #smallChunks = new ByteBuffer();
  #status = 0;
  #statusText = "";
  #minorVersion = 1;
  #rawHeaders: string[] = [];
  #interimResponses = 0;
  /** Method of the request in flight; responses to HEAD have no body. */
  method = "GET";

  constructor(listener: ResponseListener) {
    this.#listener = listener;
  }

  /** Whether no response has been received in part. */
  get isBetweenResponses(): boolean {
    return this.#state === "status" && this.#lineBytes === 0;
  }

  /** Whether a response is being received that ends with the connection. */
  get isUntilClose(): boolean {
    return this.#state === "until_close";
  }

  /**
   * Parses received bytes.
   *
   * @throws {ResponseError} When they are not a valid response.
   */
  push(chunk: Buffer): void {
    let offset = 0;
    while (offset < chunk.length) {
      switch (this.#state) {
        case "sized":
        case "chunk":
          offset = this.#readBody(chunk, offset);
          break;
        case "until_close":
          this.#listener.onBody(chunk.subarray(offset));
          offset = chunk.length;
          break;
        case "chunk_size":
          offset = this.#readChunkSize(chunk, offset);
          break;
        default:
          offset = this.#readLine(chunk, offset);
      }
    }
    this.#passSmallChunks();
  }

  /**
   * Handles the orderly end of the stream, which completes a response that is
   * framed by the end of the connection.
   *
   * @throws {ResponseError} When a response is incomplete.
   */
  close(): void {
    if (this.#state === "until_close") {
      this.#state = "status";
      this.#listener.onEnd();
    } else if (!this.isBetweenResponses) {
      throw new ResponseError("connection closed within a response");
    }
  }

  /** Reads body bytes from an offset on and returns the next offset. */
  #readBody(chunk: Buffer, offset: number): number {
    const end = Math.min(chunk.length, offset + this.#remainingBytes);
    this.#remainingBytes -= end - offset;
    if (this.#state === "chunk") {
      if (this.#remainingBytes === 0) this.#state = "chunk_end";
      if (end - offset < MIN_DIRECT_PART_BYTES) {
        this.#smallChunks.append(chunk, offset, end);
        return end;
      }
      this.#passSmallChunks();
      this.#listener.onBody(chunk.subarray(offset, end));
    } else {
      this.#listener.onBody(chunk.subarray(offset, end));
      if (this.#remainingBytes === 0) this.#finishResponse();
    }
    return end;
  }

  #passSmallChunks(): void {
    if (this.#smallChunks.length === 0) return;
    const bytes = this.#smallChunks.view();
    this.#smallChunks.clear();
    this.#listener.onBody(bytes);
  }

  /**
   * Reads a chunk size and returns the next offset. A line without extensions
   * is read without a string, as there may be one for each byte of a body.
   */
  #readChunkSize(chunk: Buffer, offset: number): number {
    if (this.#lineBytes > 0) return this.#readLine(chunk, offset);
    let size = 0;
    let end = offset;
    for (; end < chunk.length; end++) {
      const digit = parseHexDigit(chunk[end]);
      if (digit < 0) break;
      size = size * 16 + digit;
    }
    const digitCount = end - offset;
    const isPlain = digitCount > 0 && digitCount <= MAX_CHUNK_SIZE_DIGITS &&
      chunk[end] === CR && chunk[end + 1] === LF;
    if (!isPlain) return this.#readLine(chunk, offset);
    this.#startChunk(size, digitCount);
    return end + 2;
  }

  /** Reads a line or a part of it and returns the next offset. */
  #readLine(chunk: Buffer, offset: number): number {
    const isWholeChunkEnd = this.#state === "chunk_end" &&
      this.#lineBytes === 0 && chunk[offset] === CR && chunk[offset + 1] === LF;
    if (isWholeChunkEnd) {
      this.#state = "chunk_size";
      return offset + 2;
    }
    const lfIndex = chunk.indexOf(LF, offset);
    const end = lfIndex < 0 ? chunk.length : lfIndex + 1;
    this.#lineParts.push(chunk.subarray(offset, end));
    this.#lineBytes += end - offset;
    if (this.#lineBytes > MAX_LINE_BYTES) {
      throw new ResponseError("line is too long");
    }
    if (lfIndex < 0) return end;
    const bytes = this.#lineParts.length === 1
      ? this.#lineParts[0]
      : Buffer.concat(this.#lineParts);
    this.#lineParts = [];
    this.#lineBytes = 0;
    if (bytes.length < 2 || bytes[bytes.length - 2] !== CR) {
      throw new ResponseError("line does not end with CRLF");
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
      case "chunk_size":
        return this.#parseChunkSize(line);
      case "chunk_end":
        if (line !== "") throw new ResponseError("chunk exceeds its size");
        this.#state = "chunk_size";
    }
  }

  #parseStatus(line: string): void {
    const match = STATUS_LINE.exec(line);
    if (match === null) throw new ResponseError("malformed status line");
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
      throw new ResponseError("header section is too large");
    }
    if (line === "") {
      if (this.#state === "trailers") this.#finishResponse();
      else this.#finishHead();
      return;
    }
    const match = HEADER_LINE.exec(line);
    if (match === null) throw new ResponseError("malformed header line");
    // Trailers are not passed on to callers.
    if (this.#state === "headers") {
      this.#rawHeaders.push(match[1], trimBlanks(match[2]));
    }
  }

  #parseChunkSize(line: string): void {
    const match = CHUNK_SIZE_LINE.exec(line);
    if (match === null) throw new ResponseError("malformed chunk size");
    this.#startChunk(parseInt(match[1], 16), line.length);
  }

  #startChunk(sizeBytes: number, lineLength: number): void {
    this.#excessFramingBytes = Math.max(
      0,
      this.#excessFramingBytes + lineLength + CHUNK_LINE_ENDS_BYTES - sizeBytes,
    );
    if (this.#excessFramingBytes > MAX_EXCESS_FRAMING_BYTES) {
      throw new ResponseError("chunks have more framing than data");
    }
    this.#remainingBytes = sizeBytes;
    this.#state = this.#remainingBytes === 0 ? "trailers" : "chunk";
    this.#headBytes = 0;
  }

  #finishHead(): void {
    const framing = parseFramingHeaders(this.#rawHeaders);
    if (this.#status < 200) {
      if (this.#status === 101) throw new ResponseError("unexpected upgrade");
      this.#interimResponses += 1;
      if (this.#interimResponses > MAX_INTERIM_RESPONSES) {
        throw new ResponseError("too many interim responses");
      }
      this.#state = "status";
      return;
    }
    this.#interimResponses = 0;
    this.#excessFramingBytes = 0;
    const hasBody = this.method !== "HEAD" && this.#status !== 204 &&
      this.#status !== 304;
    const isUntilClose = hasBody && !framing.isChunked &&
      framing.contentLength < 0;
    const { connectionOptions } = framing;
    const isPersistent = this.#minorVersion === 1
      ? !connectionOptions.has("close")
      : connectionOptions.has("keep-alive");
    this.#state = !hasBody || framing.contentLength === 0
      ? "status"
      : framing.isChunked
      ? "chunk_size"
      : isUntilClose
      ? "until_close"
      : "sized";
    this.#remainingBytes = Math.max(0, framing.contentLength);
    this.#listener.onHead({
      status: this.#status,
      statusText: this.#statusText,
      rawHeaders: this.#rawHeaders,
      framing: !hasBody
        ? "none"
        : isUntilClose
        ? "close"
        : framing.isChunked
        ? "chunks"
        : "length",
      closesConnection: isUntilClose || !isPersistent,
      keepAliveMs: framing.keepAliveMs,
    });
    if (this.#state === "status") this.#listener.onEnd();
  }

  #finishResponse(): void {
    this.#passSmallChunks();
    this.#state = "status";
    this.#listener.onEnd();
  }
}

/** Removes spaces and tabs around a text; other blanks are part of a value. */
function trimBlanks(text: string): string {
  const isBlank = (index: number) =>
    text[index] === " " || text[index] === "\t";
  let start = 0;
  let end = text.length;
  while (start < end && isBlank(start)) start += 1;
  while (end > start && isBlank(end - 1)) end -= 1;
  return text.slice(start, end);
}

/** Returns the value of a hexadecimal digit, -1 for another byte. */
function parseHexDigit(byte: number): number {
  if (byte >= 0x30 && byte <= 0x39) return byte - 0x30;
  const upperCase = byte & ~0x20;
  return upperCase >= 0x41 && upperCase <= 0x46 ? upperCase - 0x37 : -1;
}
