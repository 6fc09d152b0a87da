import assert from "node:assert/strict";
import { spawnSync } from "node:child_process";
import {
  cpSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test, type TestContext } from "node:test";
import { fileURLToPath } from "node:url";

/** Root of the repository; this module is compiled to `dist/`. */
const ROOT = fileURLToPath(new URL("../../../../", import.meta.url));
const PROTOCOL_FILE = "proto/cranberryhoist/v1/peer.proto";

/** Compares a folder's protocol with the one of the last release. */
function findIncompatibilities(folder: string): string {
  const { status, stdout, stderr } = spawnSync(
    join(ROOT, "node_modules/.bin/buf"),
    ["breaking", "--against", join(ROOT, "proto/released/peer.binpb")],
    { cwd: folder, encoding: "utf8" },
  );
  return status === 0 ? "" : `${stdout}${stderr}`;
}

/** Copies the protocol to a temporary folder and applies one replacement. */
function changeProtocol(t: TestContext, from: string, to: string): string {
  const folder = mkdtempSync(join(tmpdir(), "cranberryhoist-proto-"));
  t.after(() => rmSync(folder, { recursive: true, force: true }));
  cpSync(join(ROOT, "buf.yaml"), join(folder, "buf.yaml"));
  cpSync(join(ROOT, "proto"), join(folder, "proto"), { recursive: true });
  const text = readFileSync(join(ROOT, PROTOCOL_FILE), "utf8");
  assert.ok(text.includes(from), `${PROTOCOL_FILE} holds '${from}'`);
  writeFileSync(join(folder, PROTOCOL_FILE), text.replace(from, to));
  return folder;
}

// Guards against a change of the protocol that hosts of the last release cannot
// read, so that a fleet loses reports while it is upgraded.
test("the protocol is compatible with the one of the last release", () => {
  assert.equal(findIncompatibilities(ROOT), "");
});

// Guards against a comparison that accepts every protocol.
test("a renumbered, retyped or removed field is incompatible", (t) => {
  const changes = [
    ["string region = 1;", "string region = 21;"],
    ["uint32 epoch = 3;", "string epoch = 3;"],
    ["  bool lacks_target_path = 20;\n", ""],
  ];
  for (const [from, to] of changes) {
    const folder = changeProtocol(t, from, to);
    assert.match(findIncompatibilities(folder), /peer\.proto:/, from);
  }
});
