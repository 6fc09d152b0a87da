import assert from "node:assert/strict";
import { test } from "node:test";
import { createSeededRandom } from "../../testing/random.ts";
import { RetryBudget } from "./retry_budget.ts";

const BOUNDS = { ratio: 0.2, slack: 64, windowMs: 10_000 };

// Guards against retries that add up over the hosts, even if every request
// fails and hosts restart with a new budget.
test("retries of all hosts together stay within the limit in any window", () => {
  for (const hostCount of [1, 9, 12]) {
    for (const requestsPerS of [5, 60, 400]) {
      const random = createSeededRandom(hostCount * 1_000 + requestsPerS);
      let budgets = Array.from({ length: hostCount }, () => new RetryBudget());
      const requestTimesMs: number[] = [];
      const retryTimesMs: number[] = [];
      for (let nowMs = 0; nowMs < 40_000; nowMs += 10) {
        if (nowMs === 20_000) {
          budgets = budgets.map((budget, i) =>
            i % 3 === 0 ? new RetryBudget() : budget
          );
        }
        for (let n = 0; n < 10; n++) {
          if (random() >= requestsPerS * 0.001) continue;
          const budget = budgets[Math.floor(random() * hostCount)];
          budget.recordRequest(BOUNDS, nowMs);
          requestTimesMs.push(nowMs);
          if (budget.takeToken(BOUNDS, hostCount, nowMs)) {
            retryTimesMs.push(nowMs);
          }
        }
      }
      for (let endMs = 10_000; endMs <= 40_000; endMs += 250) {
        const countInWindow = (timesMs: number[]) =>
          timesMs.filter((atMs) => atMs >= endMs - 10_000 && atMs < endMs)
            .length;
        const maxRetries = BOUNDS.ratio * countInWindow(requestTimesMs) +
          BOUNDS.slack;
        assert.ok(countInWindow(retryTimesMs) <= maxRetries);
      }
      assert.ok(retryTimesMs.length > 0);
    }
  }
});
