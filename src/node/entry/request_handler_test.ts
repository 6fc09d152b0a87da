import assert from "node:assert/strict";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import { PLATFORM_HEADERS } from "../../../platform/names.ts";
import type { PipelineDependencies } from "../../core/request/dependencies.ts";
import { monotonicMs } from "../clock.ts";
import { ConnectionPool } from "../target/connection_pool.ts";
import { createRecordingLog } from "../../testing/recording_log.ts";
import { createMetrics } from "../telemetry/metrics.ts";
import { loadTracing } from "../telemetry/tracing.ts";
import { RequestHandler } from "./request_handler.ts";

// Guards against an unexpected error in the handling of one request that ends
// the process, or leaves the caller without a response.
test("an unexpected error ends one request, not the process", {
  timeout: 20_000,
}, async (t) => {
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
  const server = createServer((req, res) => handler.handle(req, res));
  await new Promise<void>((done) => server.listen(0, "127.0.0.1", done));
  t.after(() => {
    server.closeAllConnections();
    server.close();
  });
  const { port } = server.address() as AddressInfo;
  const send = async () => {
    const response = await fetch(`http://127.0.0.1:${port}/`);
    return `${response.status} ${response.headers.get("x-cranberry-ran")}`;
  };
  assert.equal(await send(), "500 unknown");
  assert.equal(await send(), "503 no");
  assert.deepEqual(warnings, ["unexpected_error"]);
  assert.equal(handler.requestsInProgress, 0);
});
