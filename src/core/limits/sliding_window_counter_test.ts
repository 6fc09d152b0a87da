import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { SlidingWindowCounter } from "./sliding_window_counter.ts";

// Guards against counts below zero, which once ended a process, and against
// events that are dropped while they are within the window.
test("the count follows additions and removals within the window", () => {
  const step = fc.record({
    afterMs: fc.integer({ min: 0, max: 900 }),
    removes: fc.boolean(),
  });
  fc.assert(
    fc.property(fc.array(step, { maxLength: 80 }), (steps) => {
      const counter = new SlidingWindowCounter(5_000, 0);
      let nowMs = 0;
      let timesMs: number[] = [];
      for (const { afterMs, removes } of steps) {
        nowMs += afterMs;
        if (removes) {
          counter.removeLatest(nowMs);
          timesMs = timesMs.slice(0, -1);
        } else {
          counter.add(nowMs);
          timesMs.push(nowMs);
        }
        const inWindow = timesMs.filter((ms) => ms > nowMs - 5_000).length;
        // Two slices more than the window.
        const inLonger = timesMs.filter((ms) => ms > nowMs - 5_500).length;
        const count = counter.count(nowMs);
        assert.ok(count >= Math.min(inWindow, inLonger) && count >= 0);
        assert.ok(count <= inLonger + 1);
      }
    }),
  );
});
