import assert from "node:assert/strict";
import { test } from "node:test";
import { openSnapshots } from "../../testing/snapshot.ts";
import { hash32 } from "../hash32.ts";
import { createSenderCandidates } from "./rate_share.ts";
import { StatedLimit } from "./stated_limit.ts";

const matchSnapshot = await openSnapshots(import.meta.url);

const TARGET_HASH = hash32("target-1");
const ALONE = createSenderCandidates("host-0", []);
/** Time between two reports of a host. */
const REPORT_INTERVAL_MS = 250;

/** Times at which hosts that always have requests send them to one target. */
function simulateFleet(
  { hostCount, limitAtMs, untilMs, isActive = () => true }: {
    hostCount: number;
    /** Limit that the target states at a time. */
    limitAtMs: (nowMs: number) => number | undefined;
    untilMs: number;
    /** Whether a host has requests at all. */
    isActive?: (hostIndex: number) => boolean;
  },
): number[] {
  const hostIds = Array.from({ length: hostCount }, (_, i) => `host-${i}`);
  const hosts = hostIds.map((selfId) => ({
    limit: new StatedLimit(),
    candidates: createSenderCandidates(
      selfId,
      hostIds.filter((id) => id !== selfId),
    ),
  }));
  const sendTimesMs: number[] = [];
  for (let nowMs = 0; nowMs < untilMs; nowMs += 5) {
    for (const [i, { limit, candidates }] of hosts.entries()) {
      if (!isActive(i)) continue;
      if (limit.delayMs(TARGET_HASH, candidates, nowMs) > 0) continue;
      // Unlimited hosts send 20 requests per second each.
      if (limit.limitPerS === undefined && nowMs % 50 !== 0) continue;
      limit.takeToken(nowMs);
      sendTimesMs.push(nowMs);
      limit.recordResponse(limitAtMs(nowMs), nowMs);
    }
    if (nowMs % REPORT_INTERVAL_MS !== 0) continue;
    const reports = hosts.map(({ limit }) => limit.createReport(nowMs))
      .filter((report) => report !== undefined);
    for (const { limit } of hosts) {
      for (const report of reports) limit.recordReport(report, nowMs);
    }
  }
  return sendTimesMs;
}

function countBetween(timesMs: number[], fromMs: number, untilMs: number) {
  return timesMs.filter((atMs) => atMs >= fromMs && atMs < untilMs).length;
}

/** Most requests in any 4 s of a period. */
function maxIn4s(timesMs: number[], fromMs: number, untilMs: number) {
  return Math.max(
    ...timesMs.filter((atMs) => atMs >= fromMs && atMs + 4_000 <= untilMs)
      .map((atMs) => countBetween(timesMs, atMs, atMs + 4_000)),
  );
}

// Guards against hosts that together send a target more requests than it
// accepts, and against a target that gets far fewer. The stated bound is 1.5
// times the limit plus 5 requests in any 4 s.
test("all hosts together keep to the limit that a target states", () => {
  for (const hostCount of [1, 3, 9, 12, 88]) {
    for (const limitPerS of [0.5, 1.5, 3.2, 6.4, 40]) {
      const timesMs = simulateFleet({
        hostCount,
        limitAtMs: () => limitPerS,
        untilMs: 30_000,
      });
      const name = `${hostCount} hosts, ${limitPerS} per second`;
      const most = maxIn4s(timesMs, 3_000, 30_000);
      assert.ok(most <= 4 * limitPerS * 1.5 + 5, `${name}: ${most} in 4 s`);
      const total = countBetween(timesMs, 3_000, 30_000);
      assert.ok(total >= 27 * limitPerS * 0.9 - 1, `${name}: ${total} in 27 s`);
    }
  }
});

// Guards against hosts that miss a change of the limit or its end because they
// get no responses of the target themselves.
test("a changed or ended limit is in force on all hosts", () => {
  const timesMs = simulateFleet({
    hostCount: 20,
    limitAtMs: (nowMs) => nowMs < 10_000 ? 12 : nowMs < 20_000 ? 2 : undefined,
    untilMs: 30_000,
  });
  assert.ok(maxIn4s(timesMs, 12_000, 20_000) <= 4 * 2 * 1.5 + 5);
  // Without a limit, each host sends 20 requests per second again.
  assert.equal(countBetween(timesMs, 23_000, 24_000), 20 * 20);
});

// Guards against a limit that lasts forever because the hosts that may send to
// the target have no requests for it, and against all hosts that may send at
// once then.
test("other hosts become senders while the target is not used", () => {
  const hostCount = 12;
  let isLimited = true;
  for (const activeHost of [0, 5, 11]) {
    isLimited = true;
    const timesMs = simulateFleet({
      hostCount,
      limitAtMs: (nowMs) => nowMs < 10_000 && isLimited ? 2 : undefined,
      untilMs: 90_000,
      isActive: (i) => i === activeHost,
    });
    assert.ok(maxIn4s(timesMs, 3_000, 10_000) <= 4 * 2 * 1.5 + 5);
    assert.ok(
      countBetween(timesMs, 80_000, 81_000) >= 19,
      `host ${activeHost} is still limited`,
    );
  }
});

// Guards against a target with a limit of 0 that is never used again.
test("a target with a limit of 0 still gets single requests", () => {
  const timesMs = simulateFleet({
    hostCount: 9,
    limitAtMs: (nowMs) => nowMs < 20_000 ? 0 : undefined,
    untilMs: 40_000,
  });
  const limited = countBetween(timesMs, 4_000, 20_000);
  assert.ok(limited >= 2 && limited <= 5, `${limited} in 16 s`);
  assert.ok(countBetween(timesMs, 35_000, 36_000) > 100);
});

// Guards against outdated reports that bring back or end a limit, and against
// statements that a host repeats although it only heard of them.
test("the newest statement counts, and only own ones are reported", (t) => {
  const limit = new StatedLimit();
  const log: Record<string, unknown> = {};
  const record = (name: string, nowMs: number) => {
    log[name] = {
      limitPerS: limit.limitPerS ?? "none",
      report: limit.createReport(nowMs) ?? "none",
    };
  };
  limit.recordResponse(undefined, 1_000);
  record("unlimited", 1_000);
  limit.recordReport({ limitPerS: 4, ageMs: 500 }, 1_200);
  record("an older report", 1_200);
  limit.recordReport({ limitPerS: 4, ageMs: 50 }, 1_200);
  record("a newer report", 1_200);
  limit.recordResponse(3, 2_000);
  record("an own response", 2_100);
  limit.recordReport({ limitPerS: undefined, ageMs: 400 }, 2_300);
  record("an older report of its end", 2_300);
  limit.recordResponse(undefined, 3_000);
  record("its end", 3_100);
  record("its end, 11 s later", 14_000);
  matchSnapshot(t, log);
});

// Guards against a burst at the moment at which a limit is learned of.
test("a limit takes effect without stored tokens", () => {
  const limit = new StatedLimit();
  assert.equal(limit.delayMs(TARGET_HASH, ALONE, 60_000), 0);
  limit.recordResponse(2, 60_000);
  assert.equal(limit.delayMs(TARGET_HASH, ALONE, 60_000), 500);
  assert.equal(limit.delayMs(TARGET_HASH, ALONE, 60_500), 0);
  limit.takeToken(60_500);
  assert.equal(limit.delayMs(TARGET_HASH, ALONE, 60_500), 500);
});

// Guards against a host that restarts and does not know of a limit that only it
// had learned from the target, while the others know it from its reports.
test("a limit that another host reported is told to one that lacks it", () => {
  const limit = new StatedLimit();
  limit.recordReport({ limitPerS: 5, ageMs: 100 }, 1_000);
  assert.equal(limit.createReport(1_200), undefined);
  const options = { includesReported: true };
  assert.deepEqual(limit.createReport(1_200, options), {
    limitPerS: 5,
    ageMs: 300,
  });
  limit.recordReport({ limitPerS: undefined, ageMs: 0 }, 1_300);
  assert.equal(limit.createReport(1_400, options), undefined);
});
