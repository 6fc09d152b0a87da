import assert from "node:assert/strict";
import { createServer, type Server, type Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { openSnapshots } from "../../testing/snapshot.ts";
import { PLATFORM_HEADERS as NAMES } from "../../../platform/names.ts";
import { monotonicMs } from "../clock.ts";
import { Attempt, type OutgoingRequest } from "./attempt.ts";
import { ConnectionPool } from "./connection_pool.ts";
import type { AttemptResult } from "./types.ts";

const matchSnapshot = await openSnapshots(import.meta.url);

const SEAL = `${NAMES.seal}: s\r\n`;

function answer(id: string, body: string, headers = ""): string {
  return `HTTP/1.1 200 OK\r\n${SEAL}${NAMES.requestId}: ${id}\r\n${headers}` +
    `Content-Length: ${body.length}\r\n\r\n${body}`;
}

/** A target that handles each request by a script. */
async function startTarget(
  t: TestContext,
  handle: (socket: Socket, requests: number) => void,
) {
  let connections = 0;
  const sockets = new Set<Socket>();
  const server: Server = createServer((socket) => {
    connections += 1;
    sockets.add(socket);
    let requests = 0;
    socket.on("error", () => {});
    socket.on("data", (chunk) => {
      if (!chunk.includes("\r\n\r\n")) return;
      requests += 1;
      handle(socket, requests);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as { port: number };
  const pool = new ConnectionPool({ nowMs: monotonicMs });
  t.after(() => {
    pool.close();
    for (const socket of sockets) socket.destroy();
    server.close();
  });
  const send = (options: Partial<OutgoingRequest> = {}) =>
    new Promise<AttemptResult>((resolve) => {
      const requestId = options.requestId ?? "r1";
      new Attempt({
        address: `127.0.0.1:${port}`,
        pool,
        names: NAMES,
        nowMs: monotonicMs,
        request: {
          method: "GET",
          head: `GET / HTTP/1.1\r\nhost: a\r\n\r\n`,
          requestId,
          body: Buffer.alloc(0),
          idempotent: true,
          ...options,
        },
        listener: {
          onStreamStarted() {},
          onStreamData: () => true,
          onEnded: resolve,
        },
      }).start();
    });
  return { send, connections: () => connections };
}

function describe({ end, sent, response, detail }: AttemptResult) {
  return `${end.outcome} ${end.status} sent=${sent} ` +
    `body=${response?.body.toString() ?? "none"} (${detail})`;
}

// Guards against broken or foreign answers that are taken as the target's.
test("what a target does to an answer", async (t) => {
  const scripts: Record<string, (socket: Socket) => void> = {
    "a whole answer": (s) => s.write(answer("r1", "abc")),
    "a failure": (s) =>
      s.write(`HTTP/1.1 500 E\r\n${SEAL}Content-Length: 0\r\n\r\n`),
    "not run": (s) =>
      s.write(
        `HTTP/1.1 503 E\r\n${NAMES.notRun}: 1\r\nContent-Length: 0\r\n\r\n`,
      ),
    "another target": (s) =>
      s.write("HTTP/1.1 421 E\r\nContent-Length: 0\r\n\r\n"),
    "a success without a seal": (s) =>
      s.write("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na"),
    "an answer to another request first": (s) =>
      s.write(answer("r0", "late") + answer("r1", "own")),
    "only answers to other requests": (s) =>
      s.write(
        answer("r0", "a") + answer("r0", "b") + answer("x", "c") +
          answer("x", "d"),
      ),
    "bytes that are no answer": (s) => s.write("garbage\r\n\r\n"),
    "an end before the answer": (s) => s.end(),
    "an end within the body": (s) => s.end(answer("r1", "abc").slice(0, -1)),
    "no length, ended": (s) => s.end(`HTTP/1.1 200 OK\r\n${SEAL}\r\nabc`),
    "no length, reset right after the data": (s) => {
      s.write(`HTTP/1.1 200 OK\r\n${SEAL}\r\nabc`);
      setImmediate(() => s.resetAndDestroy());
    },
  };
  const results: Record<string, string> = {};
  for (const [name, script] of Object.entries(scripts)) {
    const { send } = await startTarget(t, script);
    results[name] = describe(await send());
  }
  matchSnapshot(t, results);
});

// Guards against connections that are reused after surplus bytes, and against
// handshakes that could be saved.
test("a connection is reused only when nothing is left on it", async (t) => {
  const clean = await startTarget(t, (s) => s.write(answer("r1", "abc")));
  await clean.send();
  await new Promise((resolve) => setTimeout(resolve, 20));
  await clean.send();
  assert.equal(clean.connections(), 1);
  const dirty = await startTarget(
    t,
    (s) => s.write(answer("r1", "abc") + "surplus"),
  );
  await dirty.send();
  await new Promise((resolve) => setTimeout(resolve, 20));
  await dirty.send();
  assert.equal(dirty.connections(), 2);
});

// Guards against a request that must not run twice and is lost because the
// target closes the kept connection just then.
test("after a lost reuse, such requests get new connections", async (t) => {
  const target = await startTarget(t, (socket, requests) => {
    if (requests === 1) socket.write(answer("r1", "abc"));
    else socket.destroy();
  });
  await target.send();
  await new Promise((resolve) => setTimeout(resolve, 20));
  const lost = await target.send();
  assert.equal(lost.end.outcome, "broken");
  for (let i = 0; i < 2; i++) {
    await new Promise((resolve) => setTimeout(resolve, 20));
    const { end } = await target.send({ idempotent: false });
    assert.equal(end.outcome, "answered");
  }
  assert.equal(target.connections(), 3);
});

// Guards against an attempt that claims to have been sent, or hangs, when no
// connection can be made.
test("a refused connection sends nothing", async (t) => {
  const pool = new ConnectionPool({ nowMs: monotonicMs });
  t.after(() => pool.close());
  const result = await new Promise<AttemptResult>((resolve) =>
    new Attempt({
      address: "127.0.0.1:1",
      pool,
      names: NAMES,
      nowMs: monotonicMs,
      request: {
        method: "POST",
        head: "POST / HTTP/1.1\r\n\r\n",
        requestId: "r1",
        body: Buffer.from("x"),
        idempotent: false,
      },
      listener: {
        onStreamStarted() {},
        onStreamData: () => true,
        onEnded: resolve,
      },
    }).start()
  );
  assert.equal(result.end.outcome, "unreachable");
  assert.equal(result.sent, false);
});
