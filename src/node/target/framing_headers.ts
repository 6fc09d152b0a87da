/**
 * Headers of responses that state where the body and the connection end.
 *
 * @module
 */

const CONTENT_LENGTH = /^\d{1,15}$/;
const KEEP_ALIVE_TIMEOUT = /(?:^|[\s,;])timeout=(\d{1,6})(?:$|[\s,;])/i;

/** The received bytes are not a valid HTTP/1.1 response. */
export class ResponseError extends Error {}

/** Headers that state where the body and the connection end. */
export interface FramingHeaders {
  isChunked: boolean;
  /** Content length in bytes; -1 when not stated. */
  contentLength: number;
  /** Options of all `connection` headers, in lower case. */
  readonly connectionOptions: Set<string>;
  /** Keep-alive time; -1 when not stated. */
  keepAliveMs: number;
}

/**
 * Parses the headers of a response that state its framing.
 *
 * @param rawHeaders Header names and values in turn.
 * @throws {ResponseError} When they are malformed or contradict each other.
 */
export function parseFramingHeaders(
  rawHeaders: readonly string[],
): FramingHeaders {
  const framing: FramingHeaders = {
    isChunked: false,
    contentLength: -1,
    connectionOptions: new Set(),
    keepAliveMs: -1,
  };
  for (let i = 0; i < rawHeaders.length; i += 2) {
    const value = rawHeaders[i + 1];
    switch (rawHeaders[i].toLowerCase()) {
      case "content-length": {
        const length = CONTENT_LENGTH.test(value) ? Number(value) : NaN;
        if (framing.contentLength >= 0 && framing.contentLength !== length) {
          throw new ResponseError("conflicting content-length");
        }
        if (Number.isNaN(length)) throw new ResponseError("bad content-length");
        framing.contentLength = length;
        break;
      }
      case "transfer-encoding":
        if (value.toLowerCase() !== "chunked" || framing.isChunked) {
          throw new ResponseError("unsupported transfer-encoding");
        }
        framing.isChunked = true;
        break;
      case "connection":
        for (const option of value.split(",")) {
          framing.connectionOptions.add(option.trim().toLowerCase());
        }
        break;
      case "keep-alive": {
        const match = KEEP_ALIVE_TIMEOUT.exec(value);
        if (match !== null) framing.keepAliveMs = Number(match[1]) * 1_000;
      }
    }
  }
  if (framing.isChunked && framing.contentLength >= 0) {
    throw new ResponseError("both content-length and chunked");
  }
  return framing;
}
