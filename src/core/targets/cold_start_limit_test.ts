import assert from "node:assert/strict";
import { test } from "node:test";
import { hash32 } from "../hash32.ts";
import { ColdStartLimit, coldStartRatePerS } from "./cold_start_limit.ts";
import { createSenderCandidates } from "./rate_share.ts";

/** Returns the most requests that all hosts together send in any second. */
function maxSendsPerS(hostCount: number, toleratedRatePerS: number): number {
  const hostIds = Array.from({ length: hostCount }, (_, i) => `host-${i}`);
  const hosts = hostIds.map((selfId) => ({
    ratePerS: coldStartRatePerS(
      hash32("cold-1"),
      toleratedRatePerS,
      createSenderCandidates(selfId, hostIds.filter((id) => id !== selfId)),
    ),
    limit: new ColdStartLimit(0),
  }));
  const sendTimesMs: number[] = [];
  // Requests wait at each host all the time, the worst case.
  for (let nowMs = 0; nowMs < 20_000; nowMs += 5) {
    for (const host of hosts) {
      if (host.ratePerS === 0) continue;
      if (!host.limit.hasToken(host.ratePerS, nowMs)) continue;
      host.limit.takeToken(nowMs);
      sendTimesMs.push(nowMs);
    }
  }
  return Math.max(
    ...sendTimesMs.map((startMs) =>
      sendTimesMs.filter((atMs) => atMs >= startMs && atMs < startMs + 1_000)
        .length
    ),
  );
}

// Guards against hosts that together overload a target in cold start, which
// makes it crash. The stated bound is 1.5 times the rate plus 5 in any second.
test("all hosts together respect the rate of a target in cold start", () => {
  for (const hostCount of [1, 2, 5, 9, 12, 88]) {
    for (const ratePerS of [3.9, 5.5, 7.7, 20]) {
      const sendsPerS = maxSendsPerS(hostCount, ratePerS);
      assert.ok(
        sendsPerS <= ratePerS * 1.5 + 5,
        `${hostCount} hosts, ${ratePerS}/s: ${sendsPerS}`,
      );
      assert.ok(
        sendsPerS >= 1,
        `${hostCount} hosts, ${ratePerS}/s: ${sendsPerS}`,
      );
    }
  }
});
