import assert from "node:assert/strict";
import { once } from "node:events";
import type { Server, ServerResponse } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { waitFor } from "../../testing/processes.ts";
import { openSnapshots } from "../../testing/snapshot.ts";
import { getCallerConnection } from "./caller_connection.ts";
import { applyCallerLimits, createCallerServer } from "./caller_server.ts";

const matchSnapshot = await openSnapshots(import.meta.url);

const HEAD = "GET / HTTP/1.1\r\nHost: a\r\n";
const MAX_HEADER_BYTES = 16_384;
const LARGE_BODY = "x".repeat(8_000_000);

/**
 * Opens a connection to a server that answers the first request when it is told
 * to and the others at once.
 */
async function openConnection(t: TestContext): Promise<{
  socket: Socket;
  responses: ServerResponse[];
  cancelled: string[];
}> {
  const responses: ServerResponse[] = [];
  const cancelled: string[] = [];
  const server: Server = createCallerServer((req, res) => {
    const { url = "" } = req;
    const isHandled = getCallerConnection(req.socket)
      .add(req, res, () => cancelled.push(url) > 0);
    if (!isHandled) return;
    responses.push(res);
    req.on("end", () => responses.length > 1 && res.end("later")).resume();
  });
  applyCallerLimits(server, {
    maxHeaderBytes: MAX_HEADER_BYTES,
    headerTimeoutMs: 1,
    idleTimeoutMs: 1_000,
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const socket = connect(port, "127.0.0.1");
  socket.on("error", () => {});
  t.after(() => {
    socket.destroy();
    server.close();
  });
  return { socket, responses, cancelled };
}

/** Collects what a connection receives until it is closed. */
async function readAll(socket: Socket): Promise<string> {
  const chunks: Buffer[] = [];
  socket.on("data", (chunk) => chunks.push(chunk));
  await once(socket, "close");
  return Buffer.concat(chunks).toString("latin1");
}

const REST_BY_CASE: Record<string, string> = {
  "no request": "no request\r\n\r\n",
  "a head that is too large": `${HEAD}x: ${"x".repeat(200_000)}`,
  "a head that takes too long": HEAD,
  "an unsupported method": "CONNECT a:80 HTTP/1.1\r\nHost: a\r\n\r\n",
  "a malformed body":
    "POST /body HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
};

// Guards against a refusal that takes the place of the response to an earlier
// request on the connection, or closes the connection before that response.
test("what follows a request in progress is refused after its response", {
  timeout: 30_000,
}, async (t) => {
  const results: Record<string, unknown> = {};
  for (const [name, rest] of Object.entries(REST_BY_CASE)) {
    const { socket, responses, cancelled } = await openConnection(t);
    const reading = readAll(socket);
    socket.write(`${HEAD}\r\n`);
    await waitFor(() => responses.length === 1);
    socket.write(rest);
    // Longer than the time limit for heads and the interval of its checks.
    await new Promise((done) => setTimeout(done, 2_500));
    responses[0].end("first");
    const received = await reading;
    results[name] = {
      statuses: [...received.matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, s]) => s),
      first: received.includes("first"),
      kind: /"kind":"(\w+)"/.exec(received)?.[1],
      cancelled,
    };
  }
  matchSnapshot(t, results);
});

// Guards against a refusal that is written into a response that has begun, when the
// rest of its request is malformed.
test("a request with a response is not refused as well", async (t) => {
  const server = createCallerServer((req, res) => {
    const cancel = () => {
      res.destroy();
      return false;
    };
    getCallerConnection(req.socket).add(req, res, cancel);
    res.writeHead(200);
    res.write("begun");
    req.resume();
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const socket = connect((server.address() as AddressInfo).port, "127.0.0.1");
  socket.on("error", () => {});
  t.after(() => server.close());
  const reading = readAll(socket);
  socket.write(
    "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n",
  );
  await new Promise((done) => setTimeout(done, 100));
  socket.write("zz\r\n");
  const received = await reading;
  assert.match(received, /^HTTP\/1\.1 200 .*begun/s);
  assert.doesNotMatch(received, /HTTP\/1\.1 400/);
});

// Guards against a reset that takes a part of a closing response from a caller
// that has sent further requests.
test("a caller that still sends gets the whole closing response", async (t) => {
  const { socket, responses } = await openConnection(t);
  socket.write(`${HEAD}\r\n`);
  await waitFor(() => responses.length === 1);
  socket.pause();
  const [res] = responses;
  const isWanted = true;
  const isRequired = false;
  const { req } = res;
  assert.ok(
    getCallerConnection(req.socket).closesAfter(res, { isWanted, isRequired }),
  );
  res.writeHead(200, { connection: "close" });
  res.end(LARGE_BODY);
  const sending = setInterval(() => socket.write(`${HEAD}\r\n`), 5);
  t.after(() => clearInterval(sending));
  // Reads slowly, so that the response is still on its way when it was written.
  let receivedBytes = 0;
  socket.on("data", (chunk) => {
    receivedBytes += chunk.length;
    socket.pause();
    setTimeout(() => socket.resume(), 1);
  });
  socket.resume();
  await once(socket, "end");
  assert.ok(receivedBytes > LARGE_BODY.length, `${receivedBytes} bytes`);
  assert.equal(responses.length, 1, "requests behind the response are dropped");
});
