import assert from "node:assert/strict";
import { test } from "node:test";
import { LapsedRegistrations } from "./registrations.ts";

const HEALTHY = { isFailing: false, returnedMs: -Infinity };

// Guards against a target that keeps its traffic after it has left.
test("a removal is believed at once while the store answers", () => {
  const filter = new LapsedRegistrations();
  assert.equal(filter.recordRemoval("a", HEALTHY, 1_000), true);
  assert.deepEqual(filter.drainExpired(HEALTHY, 9_000), []);
});

// Guards against targets that are dropped because they could not renew their
// registration while the store was away.
test("a registration that lapsed in an outage has time to return", () => {
  const filter = new LapsedRegistrations();
  const failing = { isFailing: true, returnedMs: -Infinity };
  assert.equal(filter.recordRemoval("a", failing, 1_000), false);
  assert.equal(filter.recordRemoval("b", failing, 1_000), false);
  assert.deepEqual(filter.drainExpired(failing, 5_000), []);
  const returned = { isFailing: false, returnedMs: 5_000 };
  assert.equal(filter.recordRemoval("c", returned, 6_000), false);
  filter.recordRegistration("b");
  assert.deepEqual(filter.drainExpired(returned, 7_100), []);
  assert.deepEqual(filter.drainExpired(returned, 7_300), ["a", "c"]);
  assert.equal(filter.recordRemoval("d", returned, 7_300), true);
});
