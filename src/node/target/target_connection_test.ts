import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { monotonicMs } from "../clock.ts";
import { ConnectionPool } from "./connection_pool.ts";
import type { TargetConnection } from "./target_connection.ts";

const REQUEST = Buffer.from("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
const RESPONSE = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
/** More than the kernel holds for a target that doesn't read. */
const LARGE_REQUEST = Buffer.alloc(16_000_000, REQUEST);

/** Opens a connection to a target that doesn't read yet. */
async function openConnection(
  t: TestContext,
): Promise<{ connection: TargetConnection; target: Socket }> {
  const server = createServer({ pauseOnConnect: true });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const pool = new ConnectionPool({ nowMs: monotonicMs });
  const accepted = once(server, "connection");
  const connection = await new Promise<TargetConnection>((resolve, reject) =>
    pool.open(`127.0.0.1:${port}`, (result) => {
      if (result instanceof Error) reject(result);
      else resolve(result);
    })
  );
  const [target] = await accepted as [Socket];
  t.after(() => {
    target.destroy();
    pool.close();
    server.close();
  });
  return { connection, target };
}

/** Reads what a target gets, and returns how its connection ends. */
async function readToEnd(target: Socket): Promise<string> {
  let end = "";
  target.on("error", (error: NodeJS.ErrnoException) => end ||= `${error.code}`);
  // Node.js reports a reset that arrives together with data as the end of the
  // stream. Only after a reset does the socket have no remote port.
  target.on("end", () => {
    end ||= target.remotePort === undefined ? "ECONNRESET" : "end";
  });
  target.resume();
  await once(target, "close").catch(() => {});
  return end;
}

const listener = {
  onHead() {},
  onBody() {},
  onEnd() {},
  onBroken() {},
  onDrain() {},
};

// Guards against requests that were given up while a partition held up their
// bytes, and that reach their target when it is over.
test("the bytes of a request that is given up are not sent later", async (t) => {
  const { connection, target } = await openConnection(t);
  connection.startRequest("GET", LARGE_REQUEST, listener);
  await new Promise((done) => setTimeout(done, 100));
  connection.destroy();
  await new Promise((done) => setTimeout(done, 100));
  assert.equal(await readToEnd(target), "ECONNRESET");
});

// Guards against the same when a malformed response breaks the request off.
test("the bytes of a request with a malformed response are not sent later", async (t) => {
  const { connection, target } = await openConnection(t);
  connection.startRequest("GET", LARGE_REQUEST, listener);
  target.write("no response\r\n");
  await new Promise((done) => setTimeout(done, 200));
  assert.equal(await readToEnd(target), "ECONNRESET");
});

// Guards against resets of connections that have no request in flight, which a
// target would count as errors.
test("an idle connection is closed in order", async (t) => {
  const { connection, target } = await openConnection(t);
  const ended = new Promise<void>((resolve) =>
    connection.startRequest("GET", REQUEST, { ...listener, onEnd: resolve })
  );
  target.write(RESPONSE);
  await ended;
  connection.finishRequest();
  connection.destroy();
  assert.equal(await readToEnd(target), "end");
});
