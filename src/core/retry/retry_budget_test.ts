import assert from "node:assert/strict";
import { test } from "node:test";
import { seededRandom } from "../../testing/random.ts";
import { RetryBudget } from "./retry_budget.ts";

const BOUNDS = { ratio: 0.2, slack: 64, windowMs: 10_000 };

// Guards against repeats that add up over the hosts, also while each request
// fails and while hosts restart with a new budget.
test("no window of all hosts together holds more repeats than allowed", () => {
  for (const hosts of [1, 9, 12]) {
    for (const perS of [5, 60, 400]) {
      const random = seededRandom(hosts * 1_000 + perS);
      let budgets = Array.from({ length: hosts }, () => new RetryBudget());
      const requestsMs: number[] = [];
      const repeatsMs: number[] = [];
      for (let nowMs = 0; nowMs < 40_000; nowMs += 10) {
        if (nowMs === 20_000) {
          budgets = budgets.map((old, i) =>
            i % 3 === 0 ? new RetryBudget() : old
          );
        }
        for (let n = 0; n < 10; n++) {
          if (random() >= perS * 0.001) continue;
          const budget = budgets[Math.floor(random() * hosts)];
          budget.recordRequest(BOUNDS, nowMs);
          requestsMs.push(nowMs);
          if (budget.tryRetry(BOUNDS, hosts, nowMs)) repeatsMs.push(nowMs);
        }
      }
      for (let endMs = 10_000; endMs <= 40_000; endMs += 250) {
        const within = (times: number[]) =>
          times.filter((at) => at >= endMs - 10_000 && at < endMs).length;
        const allowed = BOUNDS.ratio * within(requestsMs) + BOUNDS.slack;
        assert.ok(within(repeatsMs) <= allowed);
      }
      assert.ok(repeatsMs.length > 0);
    }
  }
});
