import assert from "node:assert/strict";
import { once } from "node:events";
import {
  createServer,
  type RequestListener,
  type ServerResponse,
} from "node:http";
import { type AddressInfo, connect } from "node:net";
import { test, type TestContext } from "node:test";
import { limitHeadMemory } from "./head_memory.ts";

const MAX_HEAD_BYTES = 131_072;
const MAX_UNFINISHED_BYTES = 65_536;
const BODY_BYTES = 300_000;
const LINES = `x: ${"x".repeat(1_000)}\r\n`.repeat(80);
/** Several times the interval of the checks. */
const OBSERVATION_MS = 300;

/**
 * Sends a text to a server with limited heads, and more of it once the first
 * part is handled. Returns what comes back.
 */
async function exchange(
  t: TestContext,
  [text, laterText]: readonly [string, string],
  handle: RequestListener,
): Promise<{ received: string; isClosed: boolean }> {
  const server = createServer({ maxHeaderSize: MAX_HEAD_BYTES }, handle);
  limitHeadMemory(server, {
    maxHeadBytes: MAX_HEAD_BYTES,
    maxUnfinishedBytes: MAX_UNFINISHED_BYTES,
    onRefused() {},
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const socket = connect((server.address() as AddressInfo).port, "127.0.0.1");
  t.after(() => {
    socket.destroy();
    server.close();
  });
  let received = "";
  let isClosed = false;
  socket.on("error", () => {});
  socket.once("close", () => isClosed = true);
  socket.on("data", (bytes) => received += bytes.toString("latin1"));
  socket.write(text);
  await new Promise((done) => setTimeout(done, OBSERVATION_MS));
  socket.write(laterText);
  await new Promise((done) => setTimeout(done, OBSERVATION_MS));
  return { received, isClosed };
}

// Guards against unfinished heads that fill the heap of a host.
test("an unfinished head beyond the limit is refused", async (t) => {
  const { received } = await exchange(
    t,
    ["GET / HTTP/1.1\r\n", LINES],
    () => {},
  );
  assert.match(received, /^HTTP\/1\.1 503 .*"host_full"/s);
});

// Guards against heads that fill the heap behind a request in progress. A refusal
// would be taken for the response to that request.
test("an unfinished head behind a request in progress counts", async (t) => {
  const head = "GET / HTTP/1.1\r\nHost: a\r\n";
  const { received, isClosed } = await exchange(
    t,
    [`${head}\r\n`, `${head}${LINES}`],
    () => {},
  );
  assert.deepEqual([received, isClosed], ["", true]);
});

// Guards against the rest of a body that is taken for an unfinished head: its
// caller gets a second response, which says that the request has not run.
test("the body of a request that was answered early is no head", async (t) => {
  const head = `POST / HTTP/1.1\r\nHost: a\r\nContent-Length: ${BODY_BYTES}`;
  const body = "x".repeat(BODY_BYTES - 1);
  const { received } = await exchange(
    t,
    [`${head}\r\n\r\n`, body],
    (req, res) => {
      req.resume();
      res.end("early");
    },
  );
  assert.equal(received.match(/HTTP\/1\.1 /g)?.length, 1);
  assert.match(received, /^HTTP\/1\.1 200 /);
});

// Guards against requests in progress that are cut off to free the memory of an
// unfinished head behind them, as long as the refused heads fit into the limit.
test("a request before a refused head is answered first", async (t) => {
  const responses: ServerResponse[] = [];
  const server = createServer(
    { maxHeaderSize: MAX_HEAD_BYTES },
    (_req, res) => {
      responses.push(res);
    },
  );
  limitHeadMemory(server, {
    maxHeadBytes: MAX_HEAD_BYTES,
    maxUnfinishedBytes: MAX_UNFINISHED_BYTES,
    onRefused() {},
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const head = "GET / HTTP/1.1\r\nHost: a\r\n";
  const received = ["", "", ""];
  const sockets = received.map((_, i) => {
    const socket = connect(port, "127.0.0.1");
    socket.on("error", () => {});
    socket.on("data", (bytes) => received[i] += bytes.toString("latin1"));
    // All heads together exceed the limit, and the last is the largest.
    socket.write(`${head}\r\n`);
    setTimeout(
      () => socket.write(head + LINES.slice(0, 23_000 + 1_000 * i)),
      OBSERVATION_MS / 2,
    );
    return socket;
  });
  t.after(() => {
    for (const socket of sockets) socket.destroy();
    server.close();
  });
  await new Promise((done) => setTimeout(done, 2 * OBSERVATION_MS));
  for (const res of responses) res.end("answer");
  await new Promise((done) => setTimeout(done, OBSERVATION_MS));
  const [first, second, largest] = received;
  assert.match(first, /^HTTP\/1\.1 200 .*answer$/s);
  assert.match(second, /^HTTP\/1\.1 200 .*answer$/s);
  assert.match(largest, /^HTTP\/1\.1 200 .*answer.*"host_full"/s);
});
