import assert from "node:assert/strict";
import { test } from "node:test";
import { StaleRegistrations } from "./stale_registrations.ts";

const MINUTE_MS = 60_000;

// Guards against registrations that are never removed, and against a host that
// removes the others while it is partitioned itself.
test("a registration expires after a long silence with a quorum", () => {
  const registrations = new StaleRegistrations();
  const ids = ["a", "b"];
  const live = new Set(["a"]);
  const tick = (minute: number, hasQuorum = true) =>
    registrations.tick(ids, live, { hasQuorum, nowMs: minute * MINUTE_MS });
  assert.deepEqual(tick(0), []);
  assert.deepEqual(tick(9), []);
  assert.deepEqual(tick(10), ["b"]);
  assert.deepEqual(tick(11, false), []);
  assert.deepEqual(tick(12), []);
  assert.deepEqual(tick(21), []);
  assert.deepEqual(tick(22), ["b"]);
});
