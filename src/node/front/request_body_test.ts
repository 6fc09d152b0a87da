import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer, type IncomingMessage, request } from "node:http";
import type { AddressInfo } from "node:net";
import { test, type TestContext } from "node:test";
import { ByteBudget } from "../../core/limits/byte_budget.ts";
import { MAX_ALL_BUFFERED_BYTES, RequestBody } from "./request_body.ts";

const MIB = 1_048_576;

/**
 * Sends a body in parts of a size and returns its hash as a host computes it.
 */
async function hashSent(
  t: TestContext,
  body: Buffer,
  { partBytes }: { partBytes: number },
): Promise<string> {
  const server = createServer();
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  t.after(() => {
    server.closeAllConnections();
    server.close();
  });
  const { port } = server.address() as AddressInfo;
  const outgoing = request({
    port,
    method: "POST",
    headers: { "content-length": body.length },
  });
  outgoing.on("error", () => {});
  outgoing.flushHeaders();
  const [req] = await once(server, "request") as [IncomingMessage];
  const hash = new Promise<string>((resolve, reject) => {
    const fail = () => reject(new Error("the body was refused"));
    const received = new RequestBody(req, {
      maxBytes: 10 * MIB,
      memory: new ByteBudget(MAX_ALL_BUFFERED_BYTES),
      onReady: () => resolve(received.hashContent("POST", "/")),
      onTooLarge: fail,
      onMemoryFull: fail,
      onReadingEnded: fail,
    });
  });
  for (let sent = 0; sent < body.length; sent += partBytes) {
    outgoing.write(body.subarray(sent, sent + partBytes));
    await new Promise((done) => setTimeout(done, 2));
  }
  outgoing.end();
  return await hash;
}

// Guards against a large upload that crashes targets and is never blocked, as it
// gets another fingerprint whenever another part of it has arrived.
test("the hash of a body doesn't depend on how it arrives", async (t) => {
  for (const bytes of [1_000, MIB, MIB + 1, 2 * MIB]) {
    const body = Buffer.alloc(bytes, "body");
    const hashes = new Set<string>();
    for (const partBytes of [50_001, 300_000, 10 * MIB]) {
      hashes.add(await hashSent(t, body, { partBytes }));
    }
    assert.equal(hashes.size, 1, `${bytes} bytes`);
  }
});

// Guards against different bodies that are blocked together.
test("bodies of another length or start have another hash", async (t) => {
  const bodies = [
    Buffer.alloc(1_000, "a"),
    Buffer.alloc(1_000, "b"),
    Buffer.alloc(1_001, "a"),
    Buffer.alloc(2 * MIB, "a"),
    Buffer.alloc(2 * MIB + 1, "a"),
    Buffer.concat([Buffer.from("b"), Buffer.alloc(2 * MIB - 1, "a")]),
  ];
  const hashes = new Set<string>();
  for (const body of bodies) {
    hashes.add(await hashSent(t, body, { partBytes: 300_000 }));
  }
  assert.equal(hashes.size, bodies.length);
});
