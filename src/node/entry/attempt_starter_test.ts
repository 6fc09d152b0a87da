import assert from "node:assert/strict";
import { createServer, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import { PLATFORM_HEADERS as NAMES } from "../../../platform/names.ts";
import type { RequestEffect, RequestEvent } from "../../core/request/types.ts";
import { createRecordingLog } from "../../testing/recording_log.ts";
import { waitFor } from "../../testing/processes.ts";
import { monotonicMs } from "../clock.ts";
import { ConnectionPool } from "../target/connection_pool.ts";
import { createMetrics } from "../telemetry/metrics.ts";
import { loadTracing } from "../telemetry/tracing.ts";
import { AttemptStarter } from "./attempt_starter.ts";
import type { HttpExchange } from "./http_exchange.ts";

/** More than is buffered, so that the response is streamed. */
const BODY = Buffer.alloc(600_000, "x");

type SendEffect = Extract<RequestEffect, { type: "send" }>;

// Guards against a streamed response that goes on after its head could not be
// sent: the caller would get a part of the body as a success without headers.
test("a response whose head can't be sent ends its request", async (t) => {
  const server = createServer((_req, res) => {
    res.writeHead(200, {
      [NAMES.seal]: "s",
      "content-length": BODY.length,
    });
    res.end(BODY);
  });
  await new Promise<void>((done) => server.listen(0, "127.0.0.1", done));
  const { port } = server.address() as AddressInfo;
  const pool = new ConnectionPool({ nowMs: monotonicMs });
  t.after(() => {
    pool.close();
    server.closeAllConnections();
    server.close();
  });
  const calls: string[] = [];
  const exchange = {
    id: 7,
    callerRequestId: "r1",
    target: { host: "a", path: "/" },
    req: { method: "GET", rawHeaders: [], headers: {}, httpVersion: "1.1" },
    res: {
      req: { httpVersion: "1.1" },
      writeHead() {
        throw new Error("invalid head");
      },
      write: () => calls.push("write") > 0,
    } as unknown as ServerResponse,
    body: {
      startSending: () => ({
        body: Buffer.alloc(0),
        framing: { type: "none" },
      }),
      canResend: true,
    },
  } as unknown as HttpExchange;
  const starter = new AttemptStarter({
    dependencies: { document: () => undefined },
    pool,
    relayPool: pool,
    headerNames: NAMES,
    log: createRecordingLog().log,
    metrics: createMetrics(),
    tracing: await loadTracing(""),
    nowMs: monotonicMs,
    closesConnection: () => false,
    dispatch: ({ type }: RequestEvent) => calls.push(type),
    failRequest(requestId, work, error) {
      calls.push(`fail ${requestId} ${work}: ${(error as Error).message}`);
      exchange.attempt?.abort();
    },
  });
  starter.startOnTarget({
    target: { id: "t", address: `127.0.0.1:${port}`, service: "s" },
    route: { id: "look", idempotent: true },
    organisation: "",
    remainingMs: 1_000,
    decision: {},
  } as unknown as SendEffect, exchange);
  await waitFor(() => calls.some((call) => call.startsWith("fail")));
  await new Promise((done) => setTimeout(done, 200));
  assert.deepEqual(calls, [
    "response_started",
    "fail 7 response_started: invalid head",
  ]);
});
