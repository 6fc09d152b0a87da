import assert from "node:assert/strict";
import { test } from "node:test";
import { GracefulStop } from "./graceful_stop.ts";

// Guards against a request that an idle host accepts while it closes its
// connections and writes its last log lines, and that its exit cuts off.
test("a host that exits early refuses later requests", () => {
  const stop = new GracefulStop(() => 1_000);
  stop.begin(0);
  assert.equal(stop.mayExit(1, 410), false);
  assert.equal(stop.mayExit(0, 410), true);
  assert.equal(stop.phaseAt(411), "leaving");
  stop.end();
  assert.equal(stop.phaseAt(411), "ended");
});
