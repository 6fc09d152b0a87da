import assert from "node:assert/strict";
import { test } from "node:test";
import { LapsedRegistrations } from "./registrations.ts";

const HEALTHY = { isFailing: false, recoveredMs: -Infinity };

// Guards against a target that keeps its traffic after it has deregistered.
test("a removal is final at once while the store is available", () => {
  const lapsed = new LapsedRegistrations();
  assert.equal(lapsed.recordRemoval("a", HEALTHY, 1_000), true);
  assert.deepEqual(lapsed.drainExpired(HEALTHY, 9_000), []);
});

// Guards against dropping targets that could not renew their registration
// while the store was unavailable.
test("a target whose registration lapsed in an outage can register again", () => {
  const lapsed = new LapsedRegistrations();
  const failing = { isFailing: true, recoveredMs: -Infinity };
  assert.equal(lapsed.recordRemoval("a", failing, 1_000), false);
  assert.equal(lapsed.recordRemoval("b", failing, 1_000), false);
  assert.deepEqual(lapsed.drainExpired(failing, 5_000), []);
  const recovered = { isFailing: false, recoveredMs: 5_000 };
  assert.equal(lapsed.recordRemoval("c", recovered, 6_000), false);
  lapsed.recordRegistration("b");
  assert.deepEqual(lapsed.drainExpired(recovered, 7_100), []);
  assert.deepEqual(lapsed.drainExpired(recovered, 7_300), ["a", "c"]);
  assert.equal(lapsed.recordRemoval("d", recovered, 7_300), true);
});
