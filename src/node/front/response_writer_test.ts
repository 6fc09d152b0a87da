import assert from "node:assert/strict";
import { createServer } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { test } from "node:test";
import { startStreamedResponse } from "./response_writer.ts";

// Guards against chunks, which a caller of HTTP/1.0 takes for the body itself.
test("a streamed response without a length suits the caller", async (t) => {
  const server = createServer((_req, res) => {
    startStreamedResponse(res, {
      status: 200,
      statusText: "OK",
      rawHeaders: ["x-own", "kept"],
      framing: "chunks",
      closesConnection: false,
      keepAliveMs: -1,
    }, { closesConnection: false });
    res.write("part-1 ");
    res.end("part-2");
  });
  await new Promise<void>((done) => server.listen(0, "127.0.0.1", done));
  t.after(() => server.close());
  const { port } = server.address() as AddressInfo;
  const fetchAs = (version: string) =>
    new Promise<string>((resolve) => {
      const socket = connect(port, "127.0.0.1");
      let text = "";
      socket.on("data", (chunk) => text += chunk.toString("latin1"));
      socket.on("close", () => resolve(text));
      socket.write(
        `GET / HTTP/${version}\r\nHost: a\r\nConnection: close\r\n\r\n`,
      );
    });
  const [oldHead, oldBody] = (await fetchAs("1.0")).split("\r\n\r\n");
  assert.equal(oldBody, "part-1 part-2");
  assert.match(oldHead, /x-own: kept/);
  assert.doesNotMatch(oldHead, /transfer-encoding/i);
  assert.match(oldHead, /connection: close/i);
  assert.match(await fetchAs("1.1"), /transfer-encoding: chunked/i);
});
