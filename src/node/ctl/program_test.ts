import assert from "node:assert/strict";
import { after, test } from "node:test";
import { sampleDocument } from "../../testing/samples.ts";
import {
  createSettingsFolder,
  findFreePorts,
} from "../../testing/processes.ts";
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

// Guards against a document that is told to be sound although hosts reject it.
test("a document is checked as hosts check it", async () => {
  const sound = sampleDocument();
  const path = folder.writeText("sound.json", JSON.stringify(sound));
  assert.equal((await run("check", path)).exitName, "ok");
  const [route] = sound.routes;
  const dangling = {
    ...sound,
    routes: [{ ...route, parts: [{ service: "nowhere", weight: 1 }] }],
  };
  const badPath = folder.writeText("bad.json", JSON.stringify(dangling));
  const bad = await run("check", badPath);
  assert.equal(bad.exitName, "document");
  assert.match(bad.message, /unknown service nowhere/);
  const cutPath = folder.writeText("cut.json", "{");
  assert.equal((await run("check", cutPath)).exitName, "document");
});

// Guards against commands that end without a status which scripts can use.
test("a wrong command line and an absent host are told apart", async () => {
  const [port] = await findFreePorts(1);
  assert.equal((await run("describe")).exitName, "usage");
  assert.equal((await run("fly")).exitName, "usage");
  const absent = await run("describe", `127.0.0.1:${port}`);
  assert.equal(absent.exitName, "unreachable");
  const unknown = await run("objects", `127.0.0.1:${port}`, "keys");
  assert.equal(unknown.exitName, "usage");
  assert.match((await run("--help")).text, /Exit statuses/);
});
