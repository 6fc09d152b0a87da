import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { SlidingWindowCounter } from "./sliding_window_counter.ts";

// Guards against counts below zero, which once ended a process, and against
// events that are forgotten within the window.
test("the count follows events of the window, also when some are taken back", () => {
  const step = fc.record({
    afterMs: fc.integer({ min: 0, max: 900 }),
    takesBack: fc.boolean(),
  });
  fc.assert(
    fc.property(fc.array(step, { maxLength: 80 }), (steps) => {
      const counter = new SlidingWindowCounter(5_000, 0);
      let nowMs = 0;
      let timesMs: number[] = [];
      for (const { afterMs, takesBack } of steps) {
        nowMs += afterMs;
        if (takesBack) {
          counter.removeLatest(nowMs);
          timesMs = timesMs.slice(0, -1);
        } else {
          counter.add(nowMs);
          timesMs.push(nowMs);
        }
        const within = timesMs.filter((at) => at > nowMs - 5_000).length;
        const withinMore = timesMs.filter((at) => at > nowMs - 5_500).length;
        const total = counter.count(nowMs);
        assert.ok(total >= Math.min(within, withinMore) && total >= 0);
        assert.ok(total <= withinMore + 1);
      }
    }),
  );
});
