import assert from "node:assert/strict";
import { createServer, type Server, type Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { PLATFORM_HEADERS as NAMES } from "../../../platform/names.ts";
import { waitFor } from "../../testing/processes.ts";
import { openSnapshots } from "../../testing/snapshot.ts";
import type { AvailabilityStatement } from "../../core/targets/stated_availability.ts";
import { monotonicMs } from "../clock.ts";
import { Attempt, type OutgoingRequest } from "./attempt.ts";
import { ConnectionPool } from "./connection_pool.ts";
import type { AttemptResult } from "./types.ts";

const matchSnapshot = await openSnapshots(import.meta.url);

const SEAL = `${NAMES.seal}: s\r\n`;

function formatResponse(id: string, body: string, headers = ""): string {
  return `HTTP/1.1 200 OK\r\n${SEAL}${NAMES.requestId}: ${id}\r\n${headers}` +
    `Content-Length: ${body.length}\r\n\r\n${body}`;
}

/** Starts a target that handles each request with a function. */
async function startTarget(
  t: TestContext,
  handle: (socket: Socket, requestCount: number) => void,
) {
  let connectionCount = 0;
  const sockets = new Set<Socket>();
  const server: Server = createServer((socket) => {
    connectionCount += 1;
    sockets.add(socket);
    let requestCount = 0;
    socket.on("error", () => {});
    socket.on("data", (chunk) => {
      if (!chunk.includes("\r\n\r\n")) return;
      requestCount += 1;
      handle(socket, requestCount);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as { port: number };
  const pool = new ConnectionPool({ nowMs: monotonicMs });
  const statements: AvailabilityStatement[] = [];
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
        headerNames: NAMES,
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
          onStatement: (statement) => statements.push(statement),
          onStreamStarted() {},
          onStreamData: () => true,
          onEnded: resolve,
        },
      }).start();
    });
  return { send, statements, connectionCount: () => connectionCount };
}

function formatResult(
  { end, mayHaveReachedTarget, response, detail }: AttemptResult,
) {
  return `${end.outcome} ${end.status} sent=${mayHaveReachedTarget} ` +
    `body=${response?.body.toString() ?? "none"} (${detail})`;
}

// Guards against broken responses, or responses to other requests, that are
// accepted as the response of the target.
test("classifies the response or failure of a target", async (t) => {
  const handlers: Record<string, (socket: Socket) => void> = {
    "a complete response": (s) => s.write(formatResponse("r1", "abc")),
    "a failure": (s) =>
      s.write(`HTTP/1.1 500 E\r\n${SEAL}Content-Length: 0\r\n\r\n`),
    "refused without running": (s) =>
      s.write(
        `HTTP/1.1 503 E\r\n${NAMES.notRun}: 1\r\nContent-Length: 0\r\n\r\n`,
      ),
    "a different target": (s) =>
      s.write("HTTP/1.1 421 E\r\nContent-Length: 0\r\n\r\n"),
    "a success without a seal": (s) =>
      s.write("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na"),
    "a response to another request first": (s) =>
      s.write(formatResponse("r0", "late") + formatResponse("r1", "own")),
    "only responses to other requests": (s) =>
      s.write(
        formatResponse("r0", "a") + formatResponse("r0", "b") +
          formatResponse("x", "c") +
          formatResponse("x", "d"),
      ),
    "bytes that are not HTTP": (s) => s.write("garbage\r\n\r\n"),
    "closed before the response": (s) => s.end(),
    "closed within the body": (s) =>
      s.end(formatResponse("r1", "abc").slice(0, -1)),
    "no length, closed": (s) => s.end(`HTTP/1.1 200 OK\r\n${SEAL}\r\nabc`),
    "no length, reset right after the data": (s) => {
      s.write(`HTTP/1.1 200 OK\r\n${SEAL}\r\nabc`);
      setImmediate(() => s.resetAndDestroy());
    },
  };
  const results: Record<string, string> = {};
  for (const [name, handler] of Object.entries(handlers)) {
    const { send } = await startTarget(t, handler);
    results[name] = formatResult(await send());
  }
  matchSnapshot(t, results);
});

// Guards against reuse of a connection that received surplus bytes, and against
// needless new connections.
test("reuses a connection unless it received surplus bytes", async (t) => {
  const clean = await startTarget(
    t,
    (s) => s.write(formatResponse("r1", "abc")),
  );
  await clean.send();
  await new Promise((resolve) => setTimeout(resolve, 20));
  await clean.send();
  assert.equal(clean.connectionCount(), 1);
  const dirty = await startTarget(
    t,
    (s) => s.write(formatResponse("r1", "abc") + "surplus"),
  );
  await dirty.send();
  await new Promise((resolve) => setTimeout(resolve, 20));
  await dirty.send();
  assert.equal(dirty.connectionCount(), 2);
});

// Guards against non-idempotent requests with an unknown outcome because the
// target closes an idle connection as they are sent.
test("uses new connections for non-idempotent requests after a failed reuse", async (t) => {
  const target = await startTarget(t, (socket, requestCount) => {
    if (requestCount === 1) socket.write(formatResponse("r1", "abc"));
    else socket.destroy();
  });
  await target.send();
  await new Promise((resolve) => setTimeout(resolve, 20));
  const broken = await target.send();
  assert.equal(broken.end.outcome, "broken");
  for (let i = 0; i < 2; i++) {
    await new Promise((resolve) => setTimeout(resolve, 20));
    const { end } = await target.send({ idempotent: false });
    assert.equal(end.outcome, "answered");
  }
  assert.equal(target.connectionCount(), 3);
});

// Guards against an attempt that hangs or reports its request as sent when the
// connection is refused.
test("reports an unreachable target when the connection is refused", async (t) => {
  const pool = new ConnectionPool({ nowMs: monotonicMs });
  t.after(() => pool.close());
  const result = await new Promise<AttemptResult>((resolve) =>
    new Attempt({
      address: "127.0.0.1:1",
      pool,
      headerNames: NAMES,
      nowMs: monotonicMs,
      request: {
        method: "POST",
        head: "POST / HTTP/1.1\r\n\r\n",
        requestId: "r1",
        body: Buffer.from("x"),
        idempotent: false,
      },
      listener: {
        onStatement() {},
        onStreamStarted() {},
        onStreamData: () => true,
        onEnded: resolve,
      },
    }).start()
  );
  assert.equal(result.end.outcome, "unreachable");
  assert.equal(result.mayHaveReachedTarget, false);
});

// Guards against a response whose target stops within the head, or within the
// body, and closes the connection, and that looks complete to the caller.
test("a response that is cut at any byte is not answered", async (t) => {
  const whole = formatResponse("r1", "abc");
  let sentLength = 0;
  const { send } = await startTarget(t, (socket) => {
    socket.end(whole.slice(0, sentLength));
    sentLength += 1;
  });
  for (let length = 0; length < whole.length; length++) {
    const { end } = await send({ requestId: "r1" });
    assert.equal(end.outcome, "broken", JSON.stringify(whole.slice(0, length)));
  }
  const { end } = await send({ requestId: "r1" });
  assert.equal(end.outcome, "answered");
});

/** Pieces that a target sends one after the other until its caller closes. */
const ENDLESS_PIECES: Record<string, { first: string; piece: string }> = {
  "a status line": { first: "", piece: "x".repeat(1_000) },
  "a header line": {
    first: "HTTP/1.1 200 OK\r\na: ",
    piece: "x".repeat(1_000),
  },
  "headers": { first: "HTTP/1.1 200 OK\r\n", piece: "a: b\r\n".repeat(100) },
  "interim responses": {
    first: "",
    piece: "HTTP/1.1 102 Processing\r\n\r\n".repeat(10),
  },
  "a body without a seal": {
    first: "HTTP/1.1 200 OK\r\n\r\n",
    piece: "x".repeat(10_000),
  },
  "the body of a failure": {
    first: `HTTP/1.1 500 E\r\n${SEAL}Transfer-Encoding: chunked\r\n\r\n`,
    piece: "3e8\r\n" + "x".repeat(1_000) + "\r\n",
  },
  "a chunk extension": {
    first: `HTTP/1.1 200 OK\r\n${SEAL}Transfer-Encoding: chunked\r\n\r\n1;`,
    piece: "x".repeat(1_000),
  },
  "trailers": {
    first: `HTTP/1.1 200 OK\r\n${SEAL}Transfer-Encoding: chunked\r\n\r\n0\r\n`,
    piece: "a: b\r\n".repeat(100),
  },
  "the body of a response to another request": {
    first: `HTTP/1.1 200 OK\r\n${SEAL}${NAMES.requestId}: r0\r\n\r\n`,
    piece: "x".repeat(10_000),
  },
};

// Guards against an attempt that reads bytes that are no response until its
// deadline, and against a connection that stays open to a target that sends
// them without end.
test("bytes without end that are no response break the attempt", async (t) => {
  const results: Record<string, string> = {};
  for (const [name, { first, piece }] of Object.entries(ENDLESS_PIECES)) {
    let isClosed = false;
    const { send } = await startTarget(t, (socket) => {
      socket.on("close", () => isClosed = true);
      socket.write(first);
      const writeNext = () => {
        if (socket.destroyed) return;
        if (socket.write(piece)) setImmediate(writeNext);
        else socket.once("drain", writeNext);
      };
      writeNext();
    });
    const deadline = new Promise<undefined>((resolve) =>
      setTimeout(() => resolve(undefined), 2_000)
    );
    const result = await Promise.race([send(), deadline]);
    results[name] = result === undefined ? "no end" : formatResult(result);
    await waitFor(() => isClosed || undefined, {
      description: `the connection of ${name} is closed`,
      timeoutMs: 1_000,
    }).catch(() => results[name] += ", open");
  }
  matchSnapshot(t, results);
});

// Guards against a refusal to an earlier request, written once more on a kept
// connection without an id, that is taken for the response to the next request:
// the caller would be told that it has not run.
test("a response without an id counts on a new connection only", async (t) => {
  const refusal =
    `HTTP/1.1 503 E\r\n${NAMES.notRun}: 1\r\nContent-Length: 0\r\n\r\n`;
  const results: Record<string, string> = {};
  for (
    const [name, repeated] of [
      ["repeated without an id", refusal],
      [
        "repeated with its id",
        refusal.replace("\r\n", `\r\n${NAMES.requestId}: r1\r\n`),
      ],
    ]
  ) {
    const { send } = await startTarget(t, (socket, requestCount) => {
      if (requestCount === 1) return void socket.write(refusal);
      socket.write(repeated);
      socket.write(formatResponse("r2", "own"));
    });
    const first = formatResult(await send({ requestId: "r1" }));
    // The connection is kept after a turn of the event loop.
    await new Promise((done) => setTimeout(done, 20));
    const second = formatResult(await send({ requestId: "r2" }));
    results[name] = `${first}; ${second}`;
  }
  matchSnapshot(t, results);
});

// Guards against what a target states of itself that is missed in some responses
// or believed from another target, and against absurd times.
test("statements of a target are passed on", async (t) => {
  const leaving = `${NAMES.leaving}: 1\r\n`;
  const refuse = (headers: string) =>
    `HTTP/1.1 503 E\r\n${NAMES.notRun}: 1\r\n${headers}` +
    "Content-Length: 0\r\n\r\n";
  const retryAfter = (value: string) => `${NAMES.retryAfterS}: ${value}\r\n`;
  const responses: Record<string, string> = {
    "leaving, answered": formatResponse("r1", "a", leaving),
    "leaving, other value": formatResponse(
      "r1",
      "a",
      `${NAMES.leaving}: 0\r\n`,
    ),
    "leaving, refused": refuse(leaving),
    "leaving, misdirected": `HTTP/1.1 421 E\r\n${leaving}` +
      "Content-Length: 0\r\n\r\n",
    "leaving, late response": formatResponse("r0", "a", leaving) +
      formatResponse("r1", "b"),
    "leaving, cut off": formatResponse("r1", "abc", leaving).slice(0, -1),
    "retry after": refuse(retryAfter("4")),
    "retry after, fraction": refuse(retryAfter("0.5")),
    "retry after, negative": refuse(retryAfter("-4")),
    "retry after, text": refuse(retryAfter("soon")),
    "retry after, date": refuse(retryAfter("Sat, 05 Dec 2026 04:20:00 GMT")),
    "retry after, huge": refuse(retryAfter("999999999999999")),
    "retry after, too long": refuse(retryAfter("9".repeat(400))),
    "retry after, repeated": refuse(retryAfter("2") + retryAfter("7")),
    "retry after, answered": formatResponse("r1", "a", retryAfter("4")),
    "retry after, late response": refuse(
      `${NAMES.requestId}: r0\r\n${retryAfter("4")}`,
    ) + formatResponse("r1", "b"),
  };
  const results: Record<string, string> = {};
  for (const [name, response] of Object.entries(responses)) {
    const { send, statements } = await startTarget(t, (socket) => {
      if (name.endsWith("cut off")) socket.end(response);
      else socket.write(response);
    });
    await send();
    results[name] = statements.map(({ isLeaving, refusesForMs }) =>
      `leaving=${isLeaving} refuses for ${refusesForMs} ms`
    ).join("; ");
  }
  matchSnapshot(t, results);
});
