import assert from "node:assert/strict";
import { test } from "node:test";
import { createSeededRandom } from "../../testing/random.ts";
import { openSnapshots } from "../../testing/snapshot.ts";
import { sampleOrganisation } from "../../testing/samples.ts";
import { RECLAIM_TIMEOUT_MS } from "./demand_reports.ts";
import { ISOLATION_TIMEOUT_MS, Quotas } from "./quotas.ts";

const matchSnapshot = await openSnapshots(import.meta.url);

const BOUNDS = { windowMs: 5_000, excessFraction: 0.1, slackRequests: 20 };
const REPORT_INTERVAL_MS = 250;
const ZONE_REPORT_INTERVAL_MS = 450;
/** Age of the reports in a zone's sum plus their transfer through two hosts. */
const ZONE_REPORT_DELAY_MS = 300;

interface Scenario {
  /** Requests of the organisation per second over all hosts at a time. */
  readonly requestsPerS: (nowMs: number) => number;
  /** Fraction of the requests that arrives at a host at a time. */
  readonly hostFraction: (host: number, nowMs: number) => number;
  readonly hosts: number;
  /** Rate of the organisation, which is also its burst. */
  readonly ratePerS: number;
  /** Times at which all hosts lose their state; never if absent. */
  readonly restartsMs?: readonly number[];
  /**
   * Number of zones that the hosts are divided over. Hosts of other zones are
   * reported in sums, which are older. Default: 1, all hosts report directly.
   */
  readonly zones?: number;
  /** Whether host `to` receives the reports of host `from`. */
  readonly receives?: (from: number, to: number, nowMs: number) => boolean;
  /** A time for which some hosts stand still. */
  readonly pause?: Pause;
}

/** What hosts are sent meanwhile waits for them. */
interface Pause {
  readonly hosts: number;
  readonly fromMs: number;
  readonly toMs: number;
  /** Whether the hosts' steady clock stands still too. */
  readonly isSuspension: boolean;
}

/** Time after which a caller gives up a request that was not answered. */
const CALLER_TIMEOUT_MS = 2_000;

/**
 * Simulates 30 s. Returns the times of the admitted requests and the number
 * of refused ones.
 */
function simulate(scenario: Scenario, seed: number) {
  const random = createSeededRandom(seed);
  const organisation = sampleOrganisation({
    ratePerS: scenario.ratePerS,
    burst: scenario.ratePerS,
  });
  const { zones = 1 } = scenario;
  const hosts = Array.from({ length: scenario.hosts }, (_, i) => ({
    id: `host-${i}`,
    availabilityZone: `zone-${i % zones}`,
  }));
  const ids = hosts.map(({ id }) => id);
  const isSameZone = (a: number, b: number) => a % zones === b % zones;
  const inTransit: { atMs: number; deliver: (nowMs: number) => void }[] = [];
  const startHosts = (nowMs: number) =>
    hosts.map(({ id }) => {
      const host = new Quotas(BOUNDS, { startsFull: nowMs === 0, nowMs });
      host.setPeers(hosts.filter((other) => other.id !== id));
      host.configure([organisation], nowMs);
      return host;
    });
  let quotas = startHosts(0);
  const admittedMs: number[] = [];
  let refused = 0;
  const { pause } = scenario;
  const isPaused = (i: number, nowMs: number) =>
    pause !== undefined && i < pause.hosts &&
    nowMs >= pause.fromMs && nowMs < pause.toMs;
  /** The time that a host knows. */
  const clockMs = (i: number, nowMs: number) =>
    pause?.isSuspension && i < pause.hosts && nowMs >= pause.toMs
      ? nowMs - pause.toMs + pause.fromMs
      : nowMs;
  const admit = (i: number, nowMs: number) => {
    if (quotas[i].admit("drivers", clockMs(i, nowMs)).isAdmitted) {
      admittedMs.push(nowMs);
    } else refused += 1;
  };
  const waitingRequests: { host: number; arrivedMs: number }[] = [];
  const waitingReports: ((nowMs: number) => void)[] = [];
  const endPause = ({ toMs }: Pause) => {
    for (const { host, arrivedMs } of waitingRequests) {
      if (toMs - arrivedMs < CALLER_TIMEOUT_MS) admit(host, toMs);
    }
    waitingReports.forEach((record) => record(toMs));
  };
  for (let nowMs = 0; nowMs < 30_000; nowMs += 10) {
    if (scenario.restartsMs?.includes(nowMs)) quotas = startHosts(nowMs);
    if (pause?.toMs === nowMs) endPause(pause);
    if (nowMs % 100 === 0) {
      quotas.forEach((host, i) => {
        if (!isPaused(i, nowMs)) host.update(clockMs(i, nowMs));
      });
    }
    if (nowMs % REPORT_INTERVAL_MS === 0) {
      const reports = quotas.map((host, i) =>
        isPaused(i, nowMs) ? undefined : host.reportDemands(clockMs(i, nowMs))
      );
      quotas.forEach((receiver, to) =>
        reports.forEach((report, from) => {
          if (report === undefined) return;
          if (from === to || !isSameZone(from, to)) return;
          if (scenario.receives?.(from, to, nowMs) === false) return;
          const record = (atMs: number) =>
            receiver.recordPeerDemands(ids[from], report, clockMs(to, atMs));
          if (isPaused(to, nowMs)) waitingReports.push(record);
          else record(nowMs);
        })
      );
    }
    if (zones > 1 && nowMs % ZONE_REPORT_INTERVAL_MS === 0) {
      for (let zone = 0; zone < zones; zone++) {
        // The delegate is the first host of the zone.
        const delegate = quotas[zone];
        const sum = delegate.reportZoneDemands(
          `zone-${zone}`,
          delegate.reportDemands(nowMs),
          nowMs,
        );
        inTransit.push({
          atMs: nowMs + ZONE_REPORT_DELAY_MS,
          deliver: (atMs) =>
            quotas.forEach((receiver, i) => {
              if (i % zones === zone) return;
              if (scenario.receives?.(zone, i, nowMs) === false) return;
              receiver.recordZoneDemands(`zone-${zone}`, sum, atMs);
            }),
        });
      }
    }
    while (inTransit.length > 0 && inTransit[0].atMs <= nowMs) {
      inTransit.shift()?.deliver(nowMs);
    }
    for (let i = 0; i < scenario.hosts; i++) {
      const meanRequests = scenario.requestsPerS(nowMs) *
        scenario.hostFraction(i, nowMs) * 0.01;
      for (let n = 0; n < 20; n++) {
        if (random() >= meanRequests / 20) continue;
        if (isPaused(i, nowMs)) {
          waitingRequests.push({ host: i, arrivedMs: nowMs });
        } else admit(i, nowMs);
      }
    }
  }
  return { admittedMs, refused };
}

/** Returns the largest number of requests in any window. */
function busiestWindow(timesMs: readonly number[]): number {
  let most = 0;
  let first = 0;
  timesMs.forEach((atMs, i) => {
    while (timesMs[first] <= atMs - BOUNDS.windowMs) first += 1;
    most = Math.max(most, i - first + 1);
  });
  return most;
}

/** Requests that may run in a window of 5 s when the burst is one second. */
function windowLimit(ratePerS: number): number {
  return (ratePerS * 5 + ratePerS) * 1.1 + 20;
}

const evenly = (hosts: number) => () => 1 / hosts;

/** Nine tenths of the requests arrive at three of nine hosts, or at the others. */
function mostlyAtFirstThree(
  isAtFirstThree: (nowMs: number) => boolean,
): Scenario["hostFraction"] {
  return (i, nowMs) => {
    const fraction = isAtFirstThree(nowMs) === i < 3 ? 0.9 : 0.1;
    return fraction / (i < 3 ? 3 : 6);
  };
}

/** Checks that the requests of no window exceed the limit. */
function assertWindows(scenarios: Record<string, Scenario>): void {
  for (const [name, scenario] of Object.entries(scenarios)) {
    for (const seed of scenario.hosts > 12 ? [1, 2, 3] : [1, 2, 3, 4, 5, 6]) {
      const most = busiestWindow(simulate(scenario, seed).admittedMs);
      const limit = Math.floor(windowLimit(scenario.ratePerS));
      assert.ok(most <= limit, `${name}: ${most} of ${limit}`);
    }
  }
}

// Guards against an organisation that gets more than its rate and burst while
// its request rate rises, its requests move to other hosts, hosts restart, or
// reports are lost.
test("no window exceeds the rate, burst and stated excess", () => {
  const scenarios: Record<string, Scenario> = {
    "many times the rate": {
      hosts: 12,
      ratePerS: 60,
      requestsPerS: () => 400,
      hostFraction: evenly(12),
    },
    "a sudden rise": {
      hosts: 12,
      ratePerS: 60,
      requestsPerS: (nowMs) => nowMs > 10_000 ? 450 : 40,
      hostFraction: evenly(12),
    },
    "all requests move to other hosts": {
      hosts: 12,
      ratePerS: 60,
      requestsPerS: () => 200,
      hostFraction: (i, nowMs) => (nowMs > 10_000) === i < 3 ? 1 / 3 : 0,
    },
    "all hosts restart at many times the rate": {
      hosts: 9,
      ratePerS: 90,
      requestsPerS: () => 600,
      hostFraction: evenly(9),
      restartsMs: [13_000],
    },
    "all hosts restart after a sudden rise": {
      hosts: 9,
      ratePerS: 90,
      requestsPerS: (nowMs) => nowMs > 12_000 ? 600 : 60,
      hostFraction: evenly(9),
      restartsMs: [13_000],
    },
    "all hosts restart three times within a window": {
      hosts: 3,
      ratePerS: 30,
      requestsPerS: () => 200,
      hostFraction: evenly(3),
      restartsMs: [13_000, 14_500, 16_000],
    },
    "two halves without reports of each other": {
      hosts: 12,
      ratePerS: 60,
      requestsPerS: () => 300,
      hostFraction: evenly(12),
      receives: (from, to, nowMs) => nowMs < 5_000 || from < 6 === to < 6,
    },
    "a sudden rise while three hosts are cut off from all others": {
      hosts: 9,
      ratePerS: 60,
      requestsPerS: (nowMs) => nowMs > 10_500 && nowMs < 17_000 ? 450 : 60,
      hostFraction: evenly(9),
      receives: (from, to, nowMs) =>
        nowMs < 10_000 || nowMs >= 18_000 || (from >= 3 && to >= 3),
    },
    "a rise that moves between two halves without reports of each other": {
      hosts: 12,
      ratePerS: 60,
      requestsPerS: (nowMs) => nowMs > 10_500 ? 400 : 60,
      hostFraction: (i, nowMs) =>
        (nowMs < 13_000) === i < 6 ? 0.9 / 6 : 0.1 / 6,
      receives: (from, to, nowMs) => nowMs < 10_000 || from < 6 === to < 6,
    },
    "many times the rate in several zones": {
      hosts: 60,
      zones: 6,
      ratePerS: 60,
      requestsPerS: () => 400,
      hostFraction: evenly(60),
    },
    "a sudden rise in several zones": {
      hosts: 60,
      zones: 6,
      ratePerS: 120,
      requestsPerS: (nowMs) => nowMs > 10_000 ? 900 : 90,
      hostFraction: evenly(60),
    },
    "a sudden rise while hosts of several zones are cut off from all others": {
      hosts: 60,
      zones: 6,
      ratePerS: 120,
      requestsPerS: (nowMs) => nowMs > 10_500 && nowMs < 17_000 ? 900 : 110,
      hostFraction: evenly(60),
      receives: (from, to, nowMs) =>
        nowMs < 10_000 || nowMs >= 18_000 || (from < 42 && to < 42),
    },
    "many times the rate, most at hosts of several zones that are cut off": {
      hosts: 60,
      zones: 6,
      ratePerS: 120,
      requestsPerS: () => 900,
      hostFraction: (i) => i < 42 ? 0.4 / 42 : 0.6 / 18,
      receives: (from, to, nowMs) =>
        nowMs < 10_000 || nowMs >= 18_000 || (from < 42 && to < 42),
    },
    "one host without reports to or from others": {
      hosts: 9,
      ratePerS: 90,
      requestsPerS: () => 300,
      hostFraction: evenly(9),
      receives: (from, to, nowMs) => nowMs < 5_000 || (from !== 0 && to !== 0),
    },
  };
  assertWindows(scenarios);
});

// Guards against hosts that each admit, in the room that all of them see,
// requests which arrive everywhere at the same time.
test("no window exceeds the limit when requests arrive at once", () => {
  const arriveAtOnce = (
    hosts: number,
    { usual, requests }: { usual: number; requests: number },
  ): Scenario => ({
    hosts,
    ratePerS: 60,
    requestsPerS: (nowMs) =>
      nowMs >= 10_000 && nowMs < 10_050 ? requests * 20 : usual,
    hostFraction: evenly(hosts),
  });
  assertWindows({
    "few usually": arriveAtOnce(9, { usual: 5, requests: 1_200 }),
    "many usually": arriveAtOnce(9, { usual: 55, requests: 600 }),
    "near the rate": arriveAtOnce(12, { usual: 60, requests: 600 }),
    "at three hosts": arriveAtOnce(3, { usual: 40, requests: 600 }),
    "in several zones": {
      ...arriveAtOnce(60, { usual: 38, requests: 1_500 }),
      zones: 6,
    },
  });
});

// Guards against hosts that stand still and then go on with the share, the
// reports and the requests that waited for them, while the others have used the
// rate.
for (const isSuspension of [false, true]) {
  const name = isSuspension ? "are suspended" : "stand still";
  test(`no window exceeds the limit when hosts ${name}`, () => {
    const scenarios = [1, 3].flatMap((hosts) =>
      [2_000, 4_000, 9_000].map((pauseMs): [string, Scenario] => [
        `${hosts} hosts for ${pauseMs} ms`,
        {
          hosts: 9,
          ratePerS: 60,
          requestsPerS: (nowMs) => nowMs > 10_500 ? 400 : 40,
          hostFraction: evenly(9),
          pause: {
            hosts,
            fromMs: 10_000,
            toMs: 10_000 + pauseMs,
            isSuspension,
          },
        },
      ])
    );
    assertWindows({
      ...Object.fromEntries(scenarios),
      "the hosts with most requests, until others have their share": {
        hosts: 9,
        ratePerS: 60,
        requestsPerS: () => 800,
        hostFraction: mostlyAtFirstThree((nowMs) =>
          nowMs < 10_000 || nowMs > 23_800
        ),
        pause: { hosts: 3, fromMs: 10_000, toMs: 24_000, isSuspension },
      },
    });
  });
}

// Guards against shares that move while their former use is still in the window.
test("no window exceeds the limit when requests move to other hosts", () => {
  const movesAt = (
    atMs: number,
    { before, after }: { before: number; after: number },
  ): Scenario => ({
    hosts: 9,
    ratePerS: 60,
    requestsPerS: (nowMs) => nowMs > atMs ? after : before,
    hostFraction: (i, nowMs) =>
      i === 0 ? (nowMs > atMs ? 0 : 1) : (nowMs > atMs ? 1 / 8 : 0),
  });
  assertWindows({
    "from one host, within the rate": movesAt(10_000, {
      before: 55,
      after: 600,
    }),
    "from one host, beyond the rate": movesAt(10_000, {
      before: 300,
      after: 600,
    }),
    "one way": {
      ...movesAt(15_000, { before: 300, after: 600 }),
      // The others no longer hear host 0, which still hears them.
      receives: (from, _to, nowMs) => nowMs < 14_000 || from !== 0,
    },
    "one way for all": {
      hosts: 9,
      ratePerS: 60,
      requestsPerS: () => 400,
      hostFraction: evenly(9),
      receives: (from, to, nowMs) => nowMs < 5_000 || from >= 3 || to < 3,
    },
    "one way, and all hosts restart": {
      hosts: 9,
      ratePerS: 60,
      requestsPerS: () => 400,
      hostFraction: evenly(9),
      restartsMs: [13_000],
      receives: (from, _to, nowMs) =>
        nowMs < 12_000 || nowMs > 21_000 || from >= 3,
    },
    "a cut that ends while requests move": {
      hosts: 9,
      ratePerS: 60,
      requestsPerS: () => 500,
      hostFraction: mostlyAtFirstThree((nowMs) => nowMs < 18_000),
      receives: (from, to, nowMs) =>
        nowMs < 10_000 || nowMs >= 18_000 || from < 3 === to < 3,
    },
  });
});

// Guards against refusals within the rate. Requests within the rate should be
// served; random bursts may cause one refusal in a hundred at 80% of the rate.
test("an organisation within its rate is rarely refused", () => {
  for (const hosts of [1, 9, 12]) {
    const scenario = {
      hosts,
      ratePerS: 60,
      requestsPerS: () => 48,
      hostFraction: evenly(hosts),
    };
    const { admittedMs, refused } = simulate(scenario, 7);
    const refusedFraction = refused / (refused + admittedMs.length);
    assert.ok(refusedFraction <= 0.01, `${hosts} hosts: ${refusedFraction}`);
  }
});

// Guards against refusals within the rate when each of many hosts gets few of
// an organisation's requests.
test("many hosts in several zones rarely refuse within the rate", () => {
  for (const ratePerS of [10, 60, 240]) {
    const scenario = {
      hosts: 60,
      zones: 6,
      ratePerS,
      requestsPerS: () => ratePerS / 1.6,
      hostFraction: evenly(60),
    };
    const { admittedMs, refused } = simulate(scenario, 7);
    const refusedFraction = refused / (refused + admittedMs.length);
    assert.ok(refusedFraction <= 0.01, `${ratePerS} per s: ${refusedFraction}`);
  }
});

// Guards against a zone whose silent hosts are unknown to the others, which would
// spend the share of those hosts.
test("a zone reports the demand of its hosts and reserves for silent ones", (t) => {
  const quotas = new Quotas(BOUNDS, { startsFull: true, nowMs: 0 });
  quotas.setPeers([
    { id: "near-1", availabilityZone: "near" },
    { id: "near-2", availabilityZone: "near" },
    { id: "far-1", availabilityZone: "far" },
  ]);
  quotas.configure([sampleOrganisation({ ratePerS: 60, burst: 20 })], 0);
  const report = (id: string, requestsPerS: number, nowMs: number) =>
    quotas.recordPeerDemands(
      id,
      new Map([["drivers", { requestsPerS, admitted: 5 * requestsPerS }]]),
      nowMs,
    );
  const results: Record<string, unknown> = {};
  for (let nowMs = 100; nowMs <= 15_000; nowMs += 100) {
    if (nowMs <= 1_000) report("near-1", 30, nowMs);
    report("near-2", 10, nowMs);
    report("far-1", 20, nowMs);
    quotas.update(nowMs);
    if (![1_000, 2_000, 12_900, 13_000].includes(nowMs)) continue;
    results[`at ${nowMs} ms`] = quotas
      .reportZoneDemands("near", quotas.reportDemands(nowMs), nowMs)
      .get("drivers");
  }
  matchSnapshot(t, results);
});

// Guards against two hosts that use the same share, which would raise the rate.
test("an isolated host gives up its share before the others use it", () => {
  assert.ok(ISOLATION_TIMEOUT_MS < RECLAIM_TIMEOUT_MS);
});

// Guards against hosts that are met one by one and get other shares than those
// that are set together.
test("hosts that are added one by one count like a list of them", () => {
  const organisation = sampleOrganisation({ ratePerS: 60, burst: 20 });
  const peers = Array.from({ length: 5 }, (_, i) => ({
    id: `host-${i}`,
    availabilityZone: `zone-${i % 2}`,
  }));
  const admitted = [false, true].map((isAddedOneByOne) => {
    const quotas = new Quotas(BOUNDS, { startsFull: true, nowMs: 0 });
    quotas.recordZoneDemands(
      "zone-1",
      new Map([["drivers", { requestsPerS: 20, admitted: 10 }]]),
      0,
    );
    if (isAddedOneByOne) { for (const peer of peers) quotas.addPeer(peer); }
    else quotas.setPeers(peers);
    quotas.configure([organisation], 0);
    for (const { id } of peers) {
      const demand = { requestsPerS: 10, admitted: 5 };
      quotas.recordPeerDemands(id, new Map([["drivers", demand]]), 10);
    }
    quotas.update(100);
    return Array.from({ length: 300 }, (_, i) => i)
      .filter((i) => quotas.admit("drivers", 100 + i).isAdmitted).length;
  });
  assert.ok(admitted[0] > 0);
  assert.equal(admitted[0], admitted[1]);
});
