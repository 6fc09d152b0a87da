import assert from "node:assert/strict";
import { createServer, type ServerResponse } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { test, type TestContext } from "node:test";
import { PLATFORM_HEADERS } from "../../../platform/names.ts";
import type { PipelineDependencies } from "../../core/request/dependencies.ts";
import { monotonicMs } from "../clock.ts";
import { ConnectionPool } from "../target/connection_pool.ts";
import { createRecordingLog } from "../../testing/recording_log.ts";
import { createMetrics } from "../telemetry/metrics.ts";
import { loadTracing } from "../telemetry/tracing.ts";
import { RequestHandler } from "./request_handler.ts";

/** Starts a host whose handling of the first request throws. */
async function startFailingHost(
  t: TestContext,
  { prepare = () => {} }: { prepare?: (res: ServerResponse) => void } = {},
) {
  const { log, warnings } = createRecordingLog();
  let requestCount = 0;
  const dependencies = {
    findHostRefusal() {
      requestCount += 1;
      if (requestCount === 1) throw new Error("unexpected");
      return { kind: "host_leaving", reason: "stop" };
    },
    document: () => undefined,
    random: () => 0.5,
  } as unknown as PipelineDependencies;
  const pool = new ConnectionPool({ nowMs: monotonicMs });
  const handler = new RequestHandler({
    dependencies,
    pool,
    relayPool: pool,
    checkTarget() {},
    headerNames: PLATFORM_HEADERS,
    log,
    metrics: createMetrics(),
    tracing: await loadTracing(""),
    nowMs: monotonicMs,
    createRequestId: () => "generated",
    closesConnections: () => false,
    publishCrashReport() {},
  });
  const server = createServer((req, res) => {
    prepare(res);
    handler.handle(req, res);
  });
  await new Promise<void>((done) => server.listen(0, "127.0.0.1", done));
  t.after(() => {
    server.closeAllConnections();
    server.close();
  });
  const { port } = server.address() as AddressInfo;
  return { port, handler, warnings };
}

// Guards against an unexpected error in the handling of one request that ends
// the process, or leaves the caller without a response.
test("an unexpected error ends one request, not the process", {
  timeout: 20_000,
}, async (t) => {
  const { port, handler, warnings } = await startFailingHost(t);
  const send = async () => {
    const response = await fetch(`http://127.0.0.1:${port}/`);
    return `${response.status} ${response.headers.get("x-cranberry-ran")}`;
  };
  assert.equal(await send(), "500 unknown");
  assert.equal(await send(), "503 no");
  assert.deepEqual(warnings, ["unexpected_error"]);
  assert.equal(handler.requestsInProgress, 0);
});

/** Sends requests on one connection and returns the statuses of the responses. */
async function sendPipelined(port: number, count: number): Promise<string[]> {
  const socket = connect(port, "127.0.0.1");
  let received = "";
  socket.on("data", (chunk) => received += chunk.toString("latin1"));
  socket.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n".repeat(count));
  await new Promise((done) => setTimeout(done, 500));
  socket.destroy();
  return [...received.matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, status]) =>
    status
  );
}

// Guards against a request that stays open because the refusal after an error is
// written on a response whose status text is invalid.
test("a request that fails on a spoilt response is answered", async (t) => {
  const { port, handler } = await startFailingHost(t, {
    prepare: (res) => res.statusMessage = "O\x01K",
  });
  assert.deepEqual(await sendPipelined(port, 1), ["500"]);
  assert.equal(handler.requestsInProgress, 0);
});

// Guards against pipelined requests that are lost because the refusal of the one
// before them closes the connection.
test("requests behind one that fails unexpectedly are answered", async (t) => {
  const { port } = await startFailingHost(t);
  assert.deepEqual(await sendPipelined(port, 3), ["500", "503", "503"]);
});
