import assert from "node:assert/strict";
import { test } from "node:test";
import { DemandHistory } from "./demand_history.ts";

// Guards against shares that are reserved by a total of another time, so that the
// hosts on both sides of a cut reserve different parts.
test("a history returns the total as of a time", () => {
  const history = new DemandHistory();
  assert.equal(history.at(0), undefined);
  for (let n = 1; n <= 50; n++) history.record(n, 100 * n);
  assert.equal(history.at(5_000), 50);
  assert.equal(history.at(4_999), 49);
  assert.equal(history.at(4_250), 42);
  assert.equal(history.at(3_100), 31);
  assert.equal(history.at(0), 31, "the earliest one that is kept");
});
