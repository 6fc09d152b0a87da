import assert from "node:assert/strict";
import { test } from "node:test";
import { StaleRegistrations } from "./stale_registrations.ts";

const MINUTE_MS = 60_000;

// Guards against registrations that stay for ever, and against a host that
// removes the others while it is cut off itself.
test("a host that is silent for long is forgotten", () => {
  const forgotten = new StaleRegistrations();
  const ids = ["a", "b"];
  const live = new Set(["a"]);
  const tick = (minute: number, hearsMost = true) =>
    forgotten.tick(ids, live, { hearsMost, nowMs: minute * MINUTE_MS });
  assert.deepEqual(tick(0), []);
  assert.deepEqual(tick(9), []);
  assert.deepEqual(tick(10), ["b"]);
  assert.deepEqual(tick(11, false), []);
  assert.deepEqual(tick(12), []);
  assert.deepEqual(tick(21), []);
  assert.deepEqual(tick(22), ["b"]);
});
