import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import { connect } from "node:net";
import { test } from "node:test";
import { findFreePorts } from "./processes.ts";

/** Prints free ports and keeps running, as a test file does. */
const PROGRAM = `
  const { findFreePorts } = await import(process.argv[1]);
  console.log(JSON.stringify(await findFreePorts(150)));
  setInterval(() => {}, 1000);
`;

function findPortsInProcess(): Promise<{ ports: number[]; end: () => void }> {
  const module = new URL("./processes.js", import.meta.url).pathname;
  const child = spawn(process.execPath, [
    "--input-type=module",
    "-e",
    PROGRAM,
    module,
  ], { stdio: ["ignore", "pipe", "inherit"] });
  return new Promise((resolve) =>
    child.stdout.once("data", (line: Buffer) =>
      resolve({
        ports: JSON.parse(line.toString("utf8")),
        end: () => child.kill("SIGKILL"),
      }))
  );
}

// Guards against two test files that run at the same time and start programs on
// the same ports, which ended with EADDRINUSE.
test("processes at the same time get different ports", async () => {
  const results = await Promise.all(
    Array.from({ length: 12 }, findPortsInProcess),
  );
  for (const { end } of results) end();
  const ports = results.flatMap((result) => result.ports);
  assert.equal(new Set(ports).size, ports.length);
});

// Guards against a second fleet in one test file that gets the ports of the
// first one while its programs are still starting.
test("calls in one process return different ports", async () => {
  const calls = await Promise.all([findFreePorts(30), findFreePorts(30)]);
  assert.equal(new Set(calls.flat()).size, 60);
  const socket = connect({ host: "127.0.0.1", port: calls[0][0] });
  const isRefused = await new Promise((resolve) => {
    socket.once("error", () => resolve(true));
    socket.once("connect", () => resolve(false));
  });
  assert.equal(isRefused, true);
});
