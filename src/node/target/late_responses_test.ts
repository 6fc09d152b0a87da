import assert from "node:assert/strict";
import { createServer, type Socket } from "node:net";
import { test, type TestContext } from "node:test";
import fc from "fast-check";
import { PLATFORM_HEADERS as NAMES } from "../../../platform/names.ts";
import type { AttemptOutcome } from "../../core/targets/types.ts";
import { monotonicMs } from "../clock.ts";
import { Attempt } from "./attempt.ts";
import { ConnectionPool } from "./connection_pool.ts";

/** Time until a late piece of a response follows. */
const LATE_MS = 3;
/**
 * Deadline of an attempt. A late response to HEAD, whose length tells of a body
 * that does not follow, takes the next response for its body.
 */
const DEADLINE_MS = 150;

/** How a target sends its response to a request. */
interface Script {
  readonly method: "GET" | "HEAD";
  readonly framing: "length" | "chunks" | "close";
  readonly bodyBytes: number;
  /**
   * Responses sent besides, whole: the same one again at once, late, or within
   * the time of the next request, or one to a request that never came.
   */
  readonly extra: "none" | "at_once" | "late" | "before_next" | "unasked";
  /** Position of a pause within the response, as a fraction of its bytes. */
  readonly pauseAt: number;
  readonly isRefusedFirst: boolean;
}

const script = fc.record<Script>({
  method: fc.constantFrom("GET", "GET", "HEAD"),
  framing: fc.constantFrom("length", "chunks", "length", "chunks", "close"),
  bodyBytes: fc.constantFrom(0, 1, 40, 5_000, 70_000, 300_000),
  extra: fc.constantFrom("none", "at_once", "late", "before_next", "unasked"),
  pauseAt: fc.constantFrom(0, 0, 0.01, 0.5, 0.99),
  isRefusedFirst: fc.boolean(),
});

function createBody(id: string, { bodyBytes }: Script): string {
  return `${id};`.repeat(bodyBytes).slice(0, bodyBytes);
}

function formatResponse(id: string, chosen: Script): string {
  const body = createBody(id, chosen);
  const head = `HTTP/1.1 200 OK\r\n${NAMES.seal}: seal-${id}\r\n` +
    `${NAMES.requestId}: ${id}\r\n`;
  const { framing, method } = chosen;
  const sent = method === "HEAD" ? "" : body;
  if (framing === "length") {
    return `${head}content-length: ${body.length}\r\n\r\n${sent}`;
  }
  if (framing === "close") return `${head}connection: close\r\n\r\n${sent}`;
  const half = Math.ceil(body.length / 2);
  const chunks = [body.slice(0, half), body.slice(half)]
    .filter((part) => part !== "" && method !== "HEAD")
    .map((part) => `${part.length.toString(16)}\r\n${part}\r\n`).join("");
  const last = method === "HEAD" ? "" : "0\r\n\r\n";
  return `${head}transfer-encoding: chunked\r\n\r\n${chunks}${last}`;
}

function formatRefusal(id: string): string {
  return `HTTP/1.1 503 Busy\r\n${NAMES.notRun}: 1\r\n` +
    `${NAMES.requestId}: ${id}\r\ncontent-length: 0\r\n\r\n`;
}

/** Scripts of the requests of one sequence. */
interface Sequence {
  readonly id: number;
  readonly scripts: readonly Script[];
}

/**
 * Starts a target that answers request `N` of the present sequence with script
 * `N`. Bytes of an earlier sequence, whose attempt was given up, may still
 * arrive; they get no answer.
 */
async function startTarget(t: TestContext, sequence: () => Sequence) {
  const refusedIds = new Set<string>();
  const sockets = new Set<Socket>();
  /** Connections on which a part of a response is still to come. */
  const midResponse = new Set<Socket>();
  /** Sends a whole response, but never within another one. */
  const sendLate = (socket: Socket, response: string) => {
    setTimeout(() => {
      if (midResponse.has(socket)) sendLate(socket, response);
      else socket.write(response);
    }, LATE_MS);
  };
  const answer = (socket: Socket, n: number, before: string) => {
    const chosen = sequence().scripts[n];
    const id = `r${n}`;
    const response = formatResponse(id, chosen);
    if (chosen.isRefusedFirst && !refusedIds.has(id)) {
      refusedIds.add(id);
      socket.write(before + formatRefusal(id));
      return;
    }
    const cut = Math.floor(response.length * chosen.pauseAt);
    if (chosen.framing === "close") {
      socket.end(before + response);
      return;
    }
    const { extra } = chosen;
    const rest = response.slice(cut) + (extra === "at_once" ? response : "");
    socket.write(before + response.slice(0, cut));
    midResponse.add(socket);
    const finish = () => {
      midResponse.delete(socket);
      socket.write(rest);
      const unasked = formatResponse(`r${n + 1_000}`, chosen);
      const later = extra === "late"
        ? response
        : extra === "unasked"
        ? unasked
        : "";
      if (later !== "") sendLate(socket, later);
    };
    if (cut === 0) finish();
    else setTimeout(finish, LATE_MS);
  };
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on("error", () => {});
    let previous: number | undefined;
    socket.on("data", (chunk) => {
      const match = /^[A-Z]+ \/(\d+)-(\d+) /.exec(chunk.toString("latin1"));
      const { id, scripts } = sequence();
      if (match === null || Number(match[1]) !== id) return;
      const n = Number(match[2]);
      const isDoubled = previous !== undefined && previous !== n &&
        scripts[previous].extra === "before_next";
      const before = isDoubled
        ? formatResponse(`r${previous}`, scripts[previous as number])
        : "";
      previous = n;
      answer(socket, n, before);
    });
  });
  await new Promise<void>((done) => server.listen(0, "127.0.0.1", done));
  t.after(() => {
    for (const socket of sockets) socket.destroy();
    server.close();
  });
  const { port } = server.address() as { port: number };
  return { address: `127.0.0.1:${port}`, reset: () => refusedIds.clear() };
}

/**
 * Makes an attempt and returns its outcome, `timed_out` after the deadline, with
 * the body that was passed on.
 */
function sendAttempt(
  options: {
    address: string;
    pool: ConnectionPool;
    method: string;
    sequenceId: number;
    n: number;
  },
): Promise<{ outcome: AttemptOutcome | "timed_out"; body: string }> {
  const { address, pool, method, sequenceId, n } = options;
  let streamed = "";
  return new Promise((resolve) => {
    const attempt = new Attempt({
      address,
      pool,
      headerNames: NAMES,
      nowMs: monotonicMs,
      request: {
        method,
        head: `${method} /${sequenceId}-${n} HTTP/1.1\r\nhost: a\r\n\r\n`,
        requestId: `r${n}`,
        body: Buffer.alloc(0),
        idempotent: true,
      },
      listener: {
        onStatement() {},
        onStreamStarted() {},
        onStreamData: (chunk) => {
          streamed += chunk.toString("latin1");
          return true;
        },
        onEnded: ({ end, response }) => {
          clearTimeout(timer);
          resolve({
            outcome: end.outcome,
            body: streamed + (response?.body.toString("latin1") ?? ""),
          });
        },
      },
    });
    const timer = setTimeout(() => {
      attempt.abort();
      resolve({ outcome: "timed_out", body: "" });
    }, DEADLINE_MS);
    attempt.start();
  });
}

// Guards against a success whose bytes are those of another response on the same
// connection, such as a late second one to an earlier request.
test("a successful attempt has exactly the bytes of its own response", async (t) => {
  let sequence: Sequence = { id: 0, scripts: [] };
  let answeredCount = 0;
  const { address, reset } = await startTarget(t, () => sequence);
  await fc.assert(
    fc.asyncProperty(
      fc.array(script, { minLength: 2, maxLength: 6 }),
      async (chosen) => {
        sequence = { id: sequence.id + 1, scripts: chosen };
        reset();
        const pool = new ConnectionPool({ nowMs: monotonicMs });
        try {
          for (const [n, { method, isRefusedFirst }] of chosen.entries()) {
            // A refused request is sent again with its id.
            for (let i = 0; i < (isRefusedFirst ? 2 : 1); i++) {
              const { outcome, body } = await sendAttempt({
                address,
                pool,
                method,
                sequenceId: sequence.id,
                n,
              });
              if (outcome !== "answered") continue;
              answeredCount += 1;
              const expected = method === "HEAD"
                ? ""
                : createBody(`r${n}`, chosen[n]);
              assert.ok(body === expected, `${body.slice(0, 80)} for r${n}`);
            }
          }
        } finally {
          pool.close();
        }
      },
    ),
    { seed: 21, numRuns: Number(process.env.LATE_RESPONSE_RUNS ?? 60) },
  );
  assert.ok(answeredCount > 60, `${answeredCount} attempts were answered`);
});
