import assert from "node:assert/strict";
import { createServer } from "node:net";
import { test } from "node:test";
import { listen } from "./address.ts";
import { ExitError } from "./exit_status.ts";

const BIND_OPTIONS = { field: "listen.a", waitMs: 0, onWait() {} };

// Guards against an error of a running server, such as too many open files,
// that ends the process because nothing listens for it.
test("errors after the start of a server are passed on", async () => {
  const errors: string[] = [];
  const server = createServer();
  await listen(server, "127.0.0.1:0", {
    ...BIND_OPTIONS,
    onError: (error) => errors.push(error.message),
  });
  server.emit("error", new Error("too many open files"));
  server.emit("error", new Error("again"));
  server.close();
  assert.deepEqual(errors, ["too many open files", "again"]);
});

// Guards against an exit status that blames another program for an address that
// this machine does not have.
test("the exit status tells why a server cannot listen", async () => {
  const options = { ...BIND_OPTIONS, onError() {} };
  const first = createServer();
  await listen(first, "127.0.0.1:0", options);
  const { port } = first.address() as { port: number };
  const exitNameOf = (address: string) =>
    listen(createServer(), address, options).then(
      () => "listening",
      (error) => (error as ExitError).exitName,
    );
  assert.equal(await exitNameOf(`127.0.0.1:${port}`), "addressInUse");
  assert.equal(await exitNameOf("192.0.2.1:1"), "settings");
  first.close();
});
