import assert from "node:assert/strict";
import { after, test } from "node:test";
import {
  createSettingsFolder,
  findFreePorts,
} from "../../testing/processes.ts";
import { sampleDocument } from "../../testing/samples.ts";
import { ExitError, type ExitName } from "../exit_status.ts";
import { runCtl } from "./program.ts";

const folder = createSettingsFolder();
after(() => folder.dispose());

async function run(...args: string[]) {
  const lines: string[] = [];
  let exitName: ExitName = "ok";
  let message = "";
  try {
    await runCtl(args, { print: (line) => lines.push(line) });
  } catch (error) {
    if (!(error instanceof ExitError)) throw error;
    exitName = error.exitName;
    message = error.message;
  }
  return { exitName, message, text: lines.join("\n") };
}

// Guards against a document that the check accepts although hosts reject it.
test("check accepts valid documents and rejects invalid ones", async () => {
  const valid = sampleDocument();
  const validPath = folder.writeText("valid.json", JSON.stringify(valid));
  assert.equal((await run("check", validPath)).exitName, "ok");
  const [route] = valid.routes;
  const invalid = {
    ...valid,
    routes: [{ ...route, parts: [{ service: "nowhere", weight: 1 }] }],
  };
  const invalidPath = folder.writeText("invalid.json", JSON.stringify(invalid));
  const rejected = await run("check", invalidPath);
  assert.equal(rejected.exitName, "document");
  assert.match(rejected.message, /unknown service nowhere/);
  const truncatedPath = folder.writeText("truncated.json", "{");
  assert.equal((await run("check", truncatedPath)).exitName, "document");
});

// Guards against failures that scripts cannot tell apart by the exit status.
test("exit statuses distinguish usage errors and unreachable hosts", async () => {
  const [port] = await findFreePorts(1);
  assert.equal((await run("describe")).exitName, "usage");
  assert.equal((await run("fly")).exitName, "usage");
  const unreachable = await run("describe", `127.0.0.1:${port}`);
  assert.equal(unreachable.exitName, "unreachable");
  const unknownKind = await run("objects", `127.0.0.1:${port}`, "keys");
  assert.equal(unknownKind.exitName, "usage");
  assert.match((await run("--help")).text, /Exit statuses/);
});
