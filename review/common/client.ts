/**
 * A client that sends a request on a connection of an agent.
 *
 * @module
 */
import { type Agent, request } from "node:http";
import { HOST_NAME } from "./fleet.ts";

/** An answer, or how the request ended without one. */
export interface Answer {
  requestId: string;
  sentMs: number;
  /** When it ended, with or without an answer. */
  endedMs: number;
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
      endedMs: 0,
      status: 0,
      seal: undefined,
      body: Buffer.alloc(0),
      isComplete: false,
      error: "",
    };
    const finish = (ending: Partial<Answer>) =>
      resolve({ ...result, ...ending, endedMs: performance.now() });
    const fail = (error: Error) => finish({ error: error.message });
    const outgoing = request({
      agent,
      host,
      port,
      method,
      path,
      timeout: deadlineMs,
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
        finish({ body: Buffer.concat(chunks), isComplete: complete });
      });
    });
    outgoing.on("error", fail);
    outgoing.on("timeout", () => outgoing.destroy(new Error("no answer")));
    outgoing.end(body);
  });
}
