import assert from "node:assert/strict";
import { test } from "node:test";
import { hash32 } from "../hash32.ts";
import {
  ColdStartLimit,
  coldStartRatePerS,
  createColdStartSenders,
} from "./cold_start_limit.ts";

/** Largest number of sends within one second over all hosts. */
function busiestSecond(hostCount: number, ratePerS: number): number {
  const hostIds = Array.from({ length: hostCount }, (_, i) => `host-${i}`);
  const hosts = hostIds.map((selfId) => ({
    ratePerS: coldStartRatePerS(
      hash32("cold-1"),
      ratePerS,
      createColdStartSenders(selfId, hostIds.filter((id) => id !== selfId)),
    ),
    limit: new ColdStartLimit(0),
  }));
  const sendsMs: number[] = [];
  // Requests wait at all hosts all the time, the worst case.
  for (let nowMs = 0; nowMs < 20_000; nowMs += 5) {
    for (const host of hosts) {
      if (host.ratePerS === 0) continue;
      if (!host.limit.hasToken(host.ratePerS, nowMs)) continue;
      host.limit.consumeToken(nowMs);
      sendsMs.push(nowMs);
    }
  }
  return Math.max(
    ...sendsMs.map((atMs) =>
      sendsMs.filter((other) => other >= atMs && other < atMs + 1_000).length
    ),
  );
}

// Guards against hosts that together crash a cold target: the stated bound is
// the rate times 1.5 plus 5 in any second.
test("all hosts together keep the rate of a cold target", () => {
  for (const hostCount of [1, 2, 5, 9, 12, 88]) {
    for (const ratePerS of [3.9, 5.5, 7.7, 20]) {
      const most = busiestSecond(hostCount, ratePerS);
      assert.ok(
        most <= ratePerS * 1.5 + 5,
        `${hostCount} hosts, ${ratePerS}/s: ${most}`,
      );
      assert.ok(most >= 1, `${hostCount} hosts, ${ratePerS}/s: ${most}`);
    }
  }
});
