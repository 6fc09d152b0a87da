import assert from "node:assert/strict";
import { test } from "node:test";
import { mayServe } from "./restart_gate.ts";

const RESTART = {
  isFirstStart: false,
  hasPeerReport: false,
  listeningMs: 1_000,
};

// Guards against a restarted host that sends requests to a target which has left
// before it hears of that from the others, and against one that waits for ever.
test("a restarted host serves after a report, or after a wait", () => {
  assert.equal(mayServe({ ...RESTART, listeningMs: Infinity }, 5_000), false);
  assert.equal(mayServe(RESTART, 1_050), false);
  assert.equal(mayServe({ ...RESTART, hasPeerReport: true }, 1_050), true);
  assert.equal(mayServe(RESTART, 1_300), true);
  assert.equal(mayServe({ ...RESTART, isFirstStart: true }, 1_000), true);
});
