import assert from "node:assert/strict";
import { test } from "node:test";
import { LapseFilter } from "./registry.ts";

const HEALTHY = { isFailing: false, recoveredMs: -Infinity };

// Guards against a target that keeps its traffic after it has left.
test("a removal is believed at once while the store answers", () => {
  const filter = new LapseFilter();
  assert.equal(filter.noteRemoved("a", HEALTHY, 1_000), true);
  assert.deepEqual(filter.takeGone(HEALTHY, 9_000), []);
});

// Guards against targets that are dropped because they could not renew their
// registration while the store was away.
test("a registration that lapsed in an outage has time to return", () => {
  const filter = new LapseFilter();
  const failing = { isFailing: true, recoveredMs: -Infinity };
  assert.equal(filter.noteRemoved("a", failing, 1_000), false);
  assert.equal(filter.noteRemoved("b", failing, 1_000), false);
  assert.deepEqual(filter.takeGone(failing, 5_000), []);
  const returned = { isFailing: false, recoveredMs: 5_000 };
  assert.equal(filter.noteRemoved("c", returned, 6_000), false);
  filter.noteRegistered("b");
  assert.deepEqual(filter.takeGone(returned, 7_100), []);
  assert.deepEqual(filter.takeGone(returned, 7_300), ["a", "c"]);
  assert.equal(filter.noteRemoved("d", returned, 7_300), true);
});
