import assert from "node:assert/strict";
import { test } from "node:test";
import { RecentValues } from "./recent_values.ts";

// Guards against shares that are reserved by a total of another time, so that the
// hosts on both sides of a cut reserve different parts.
test("the value as of a time is returned", () => {
  const values = new RecentValues();
  assert.equal(values.at(0), undefined);
  for (let n = 1; n <= 50; n++) values.record(n, 100 * n);
  assert.equal(values.at(5_000), 50);
  assert.equal(values.at(4_999), 49);
  assert.equal(values.at(4_250), 42);
  assert.equal(values.at(3_100), 31);
  assert.equal(values.at(0), 31, "the earliest one that is kept");
});
