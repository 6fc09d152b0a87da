/**
 * Clients: one request on a connection of its own, and a connection on which
 * requests are sent before earlier ones are answered.
 *
 * @module
 */
import { connect, type Socket } from "node:net";
import { API_KEY, ROUTE_HOST } from "./fleet.ts";

/** An answer. */
export interface Answer {
  readonly status: number;
  readonly headers: ReadonlyMap<string, string>;
  readonly body: string;
}

let requests = 0;

/** Returns a new request id. */
export function createRequestId(): string {
  requests += 1;
  return (0x9c41d07be000 + requests).toString(16).padStart(16, "0");
}

/** Formats the head of a request. */
export function formatHead(
  { method, path, requestId, deadlineMs = 4_000, bodyBytes }: {
    method: string;
    path: string;
    requestId: string;
    deadlineMs?: number;
    bodyBytes?: number;
  },
): string {
  return `${method} ${path} HTTP/1.1\r\nHost: ${ROUTE_HOST}\r\n` +
    `X-Cranberryhoist-Request-Id: ${requestId}\r\n` +
    `X-Cranberryhoist-Request-Deadline: ${deadlineMs}\r\n` +
    `Authorization: Bearer ${API_KEY}\r\n` +
    (bodyBytes === undefined ? "" : `Content-Length: ${bodyBytes}\r\n`) +
    "\r\n";
}

/** Opens a connection to an address `ip:port`. */
export function open(address: string): Socket {
  const [host, port] = address.split(":");
  return connect({ host, port: Number(port), noDelay: true });
}

/** Reads the answers on a connection; they have a `Content-Length`. */
export class AnswerReader {
  #bytes = Buffer.alloc(0);

  /** Adds received bytes and returns the answers that they complete. */
  push(chunk: Buffer): Answer[] {
    this.#bytes = Buffer.concat([this.#bytes, chunk]);
    const answers: Answer[] = [];
    for (;;) {
      const headEnd = this.#bytes.indexOf("\r\n\r\n");
      if (headEnd < 0) return answers;
      const [statusLine, ...lines] = this.#bytes.toString("latin1", 0, headEnd)
        .split("\r\n");
      const headers = new Map(lines.map((line) => {
        const colon = line.indexOf(":");
        return [
          line.slice(0, colon).toLowerCase(),
          line.slice(colon + 1).trim(),
        ];
      }));
      const bodyEnd = headEnd + 4 + Number(headers.get("content-length") ?? 0);
      if (this.#bytes.length < bodyEnd) return answers;
      answers.push({
        status: Number(statusLine.split(" ")[1]),
        headers,
        body: this.#bytes.toString("latin1", headEnd + 4, bodyEnd),
      });
      this.#bytes = this.#bytes.subarray(bodyEnd);
    }
  }
}

/**
 * Sends a request on a new connection and returns the answer, or `undefined` if
 * the connection ends without one.
 *
 * @param pieces Parts of the body, each written after a pause of its own.
 */
export function send(
  address: string,
  head: string,
  pieces: readonly { bytes: Buffer; pauseMs: number }[] = [],
): Promise<Answer | undefined> {
  return new Promise((resolve) => {
    const socket = open(address);
    const reader = new AnswerReader();
    socket.on("error", () => {});
    socket.on("close", () => resolve(undefined));
    socket.on("data", (chunk: Buffer) => {
      const [answer] = reader.push(chunk);
      if (answer === undefined) return;
      resolve(answer);
      socket.destroy();
    });
    socket.once("connect", async () => {
      socket.write(head);
      for (const { bytes, pauseMs } of pieces) {
        if (pauseMs > 0) await new Promise((done) => setTimeout(done, pauseMs));
        if (socket.destroyed) return;
        if (!socket.write(bytes)) {
          await new Promise<void>((done) => {
            socket.once("drain", done);
            socket.once("close", () => done());
          });
        }
      }
    });
  });
}
