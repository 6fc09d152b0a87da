/**
 * Clients: one request on a connection of an agent, and a kept connection on
 * which safe requests are sent before the first was answered.
 *
 * @module
 */
import { type Agent, request } from "node:http";
import { connect } from "node:net";
import { HOST_NAME } from "./fleet.ts";

/** An answer, or how the request ended without one. */
export interface Answer {
  requestId: string;
  sentMs: number;
  /** 0 without an answer. */
  status: number;
  seal: string | undefined;
  body: Buffer;
  /** Whether the answer ended as its framing says. */
  isComplete: boolean;
  error: string;
}

let lastId = 0;

/** Creates the id of a client attempt. */
export function createRequestId(): string {
  lastId += 1;
  return `${process.pid.toString(16)}-${lastId.toString(16).padStart(6, "0")}`;
}

/** Sends a request and waits for its end. Never rejects. */
export function sendRequest(
  address: string,
  { path, method = "GET", key, object, agent, deadlineMs = 4_000, body }: {
    path: string;
    /** Value of the affinity key. */
    object: number;
    method?: string;
    key: string;
    agent: Agent;
    deadlineMs?: number;
    body?: string;
  },
): Promise<Answer> {
  const requestId = createRequestId();
  const [host, port] = address.split(":");
  const sentMs = performance.now();
  return new Promise((resolve) => {
    const result: Answer = {
      requestId,
      sentMs,
      status: 0,
      seal: undefined,
      body: Buffer.alloc(0),
      isComplete: false,
      error: "",
    };
    const fail = (error: Error) => resolve({ ...result, error: error.message });
    const outgoing = request({
      agent,
      host,
      port,
      method,
      path,
      timeout: deadlineMs + 1_000,
      headers: {
        host: HOST_NAME,
        "x-cranberryhoist-request-id": requestId,
        "x-cranberryhoist-request-deadline": String(deadlineMs),
        "x-cranberryhoist-affinity-key": String(object),
        authorization: `Bearer ${key}`,
        ...(body === undefined
          ? {}
          : { "content-length": String(Buffer.byteLength(body)) }),
      },
    }, (response) => {
      const chunks: Buffer[] = [];
      result.status = response.statusCode ?? 0;
      const seal = response.headers["x-cranberryhoist-server-seal"];
      result.seal = typeof seal === "string" ? seal : undefined;
      response.on("data", (chunk: Buffer) => chunks.push(chunk));
      response.on("error", fail);
      response.on("end", () => {
        const { complete } = response;
        resolve({
          ...result,
          body: Buffer.concat(chunks),
          isComplete: complete,
        });
      });
    });
    outgoing.on("error", fail);
    outgoing.on("timeout", () => outgoing.destroy(new Error("no answer")));
    outgoing.end(body);
  });
}

/** How the requests on one connection ended. */
export interface PipelineResult {
  requestIds: string[];
  /** Statuses of the answers, in their order. */
  statuses: number[];
  /** Whether the other side closed the connection. */
  isClosed: boolean;
}

/**
 * Sends safe requests on one connection without waiting for answers, reads
 * until all are answered or the connection closes.
 */
export function sendPipelined(
  address: string,
  { paths, firstObject, key, deadlineMs }: {
    paths: string[];
    /** Value of the affinity key of the first request; it grows by one. */
    firstObject: number;
    key: string;
    deadlineMs: number;
  },
): Promise<PipelineResult> {
  const [host, port] = address.split(":");
  const requestIds = paths.map(() => createRequestId());
  return new Promise((resolve) => {
    const socket = connect(Number(port), host);
    let received = "";
    const finish = (isClosed: boolean) => {
      clearTimeout(timer);
      socket.destroy();
      const statuses = [...received.matchAll(/HTTP\/1\.1 (\d\d\d) /g)]
        .map((match) => Number(match[1]));
      resolve({ requestIds, statuses, isClosed });
    };
    const timer = setTimeout(() => finish(false), deadlineMs + 1_000);
    socket.on("data", (chunk) => {
      received += chunk.toString("latin1");
      const answers = received.match(/HTTP\/1\.1 \d\d\d /g)?.length ?? 0;
      if (answers === paths.length) setTimeout(() => finish(false), 50);
    });
    socket.on("error", () => {});
    socket.on("close", () => finish(true));
    socket.write(
      paths.map((path, i) =>
        `GET ${path} HTTP/1.1\r\nHost: ${HOST_NAME}\r\n` +
        `X-Cranberryhoist-Request-Id: ${requestIds[i]}\r\n` +
        `X-Cranberryhoist-Request-Deadline: ${deadlineMs}\r\n` +
        `X-Cranberryhoist-Affinity-Key: ${firstObject + i}\r\n` +
        `Authorization: Bearer ${key}\r\n\r\n`
      ).join(""),
    );
  });
}
