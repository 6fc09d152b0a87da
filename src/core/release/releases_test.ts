import assert from "node:assert/strict";
import { test } from "node:test";
import { createSeededRandom } from "../../testing/random.ts";
import { Releases } from "./releases.ts";
import type { ReleaseOrder, ReleaseOutcome } from "./types.ts";
import { VersionCounts } from "./version_counts.ts";

const HOSTS = 12;
const TIME_STEP_MS = 10;
/** Bound on a bad version: fraction of all requests, plus some requests. */
const EXPOSURE = { share: 0.1, slackRequests: 50 };

/** Behaviour of the targets of a version. */
interface Version {
  /** Whether a response is bad. */
  isBad(context: {
    readonly routeId: string;
    readonly nowMs: number;
    /** Fraction of the recent requests that used the version. */
    readonly share: number;
    readonly random: () => number;
  }): boolean;
}

interface Scenario {
  /** Requests per second by route. */
  readonly requestsPerS: Readonly<Record<string, number>>;
  /** Time at which a route moves to another service; never if absent. */
  readonly movesMs?: Readonly<Record<string, number>>;
  readonly durationMs: number;
  readonly newVersion: Version;
  readonly oldVersion: Version;
  /** Time at which a host loses its state; never if absent. */
  readonly restartMs?: (host: number) => number;
  /** Whether a host reaches the store. */
  readonly reachesStore?: (host: number, nowMs: number) => boolean;
  /** Whether host `to` receives the reports of host `from`. */
  readonly receives?: (from: number, to: number, nowMs: number) => boolean;
}

const GOOD: Version = { isBad: ({ random }) => random() < 0.005 };

/**
 * Simulates a release from its order until after its deadline. Returns its
 * outcome and, up to the deadline, the number of all requests and of those that
 * used the new version (`exposed`). `late` counts requests that used it more
 * than 5 s after its fiftieth bad response.
 */
function simulate(scenario: Scenario, seed: number) {
  const random = createSeededRandom(seed);
  let outcome: ReleaseOutcome = "ordered";
  let revision = 1;
  const createOrder = (): ReleaseOrder => ({
    service: "desk",
    version: "v2",
    durationMs: scenario.durationMs,
    outcome,
    revision,
  });
  const createHost = (): Host => {
    const counts = new VersionCounts();
    const releases = new Releases(counts, () => ({
      exposureShare: EXPOSURE.share,
    }));
    releases.recordVersions("desk", new Map([["v1", 1]]));
    runs += 1;
    return { counts, releases, runId: `run-${runs}` };
  };
  let runs = 0;
  const hosts = Array.from({ length: HOSTS }, createHost);
  let all = 0;
  let exposed = 0;
  let bad = 0;
  let fiftiethMs = Infinity;
  let late = 0;
  const recentIsNew: boolean[] = [];
  for (
    let nowMs = 0;
    nowMs < scenario.durationMs + 6_000;
    nowMs += TIME_STEP_MS
  ) {
    hosts.forEach((_, i) => {
      if (scenario.restartMs?.(i) === nowMs) hosts[i] = createHost();
    });
    const reachesStore = (i: number) =>
      scenario.reachesStore?.(i, nowMs) ?? true;
    const receives = (from: number, to: number) =>
      scenario.receives?.(from, to, nowMs) ?? true;
    hosts.forEach(({ releases }, i) => {
      if (nowMs % 400 === 0 && reachesStore(i)) {
        releases.setOrders([createOrder()], nowMs);
      }
    });
    if (nowMs % 250 === 0) exchangeReports(hosts, receives, nowMs);
    if (nowMs % 100 === 0) {
      hosts.forEach(({ releases }, i) => {
        const effects = releases.tick({
          storeAgeMs: reachesStore(i) ? 0 : 10_000,
          hasQuorum: 2 *
              hosts.filter((_, j) => j === i || receives(j, i)).length > HOSTS,
          leadsTo: (routeId) =>
            nowMs < (scenario.movesMs?.[routeId] ?? Infinity),
          isTaskOwner: () => i === 0,
        }, nowMs);
        for (const effect of effects) {
          if (effect.type !== "write" || !reachesStore(i)) continue;
          if (effect.order.revision !== revision) continue;
          outcome = effect.outcome;
          revision += 1;
        }
      });
    }
    for (
      const [routeId, requestsPerS] of Object.entries(scenario.requestsPerS)
    ) {
      if (random() >= requestsPerS * TIME_STEP_MS / 1_000) continue;
      if (nowMs >= (scenario.movesMs?.[routeId] ?? Infinity)) continue;
      const { counts, releases } = hosts[Math.floor(random() * HOSTS)];
      const rule = releases.getVersionRule("desk", routeId, random());
      const isNew = rule.type === "only" && rule.version === "v2";
      recentIsNew.push(isNew);
      if (recentIsNew.length > 100) recentIsNew.shift();
      const share = recentIsNew.filter(Boolean).length / recentIsNew.length;
      const version = isNew ? scenario.newVersion : scenario.oldVersion;
      const isBad = version.isBad({ routeId, nowMs, share, random });
      const versionName = isNew ? "v2" : "v1";
      counts.recordResponse(
        { service: "desk", routeId, version: versionName },
        isBad,
      );
      if (nowMs <= scenario.durationMs) {
        all += 1;
        if (isNew) exposed += 1;
      }
      if (isNew && isBad) bad += 1;
      if (bad === 50 && fiftiethMs === Infinity) fiftiethMs = nowMs;
      if (isNew && nowMs > fiftiethMs + 5_000) late += 1;
    }
  }
  return { outcome, all, exposed, late };
}

/** One simulated host process. */
type Host = { counts: VersionCounts; releases: Releases; runId: string };

function exchangeReports(
  hosts: readonly Host[],
  receives: (from: number, to: number) => boolean,
  nowMs: number,
): void {
  const services = new Set(["desk"]);
  const reports = hosts.map(({ counts, releases, runId }) => ({
    runId,
    counts: counts.getLocalCounts(services),
    stopped: releases.getStoppedVersions(),
    progress: releases.getProgress(nowMs),
  }));
  hosts.forEach(({ counts, releases }, to) =>
    reports.forEach((report, from) => {
      if (from === to || !receives(from, to)) return;
      counts.setPeerCounts(report.runId, report.counts);
      releases.recordProgress(report.progress, nowMs);
      for (const stopped of report.stopped) releases.stopVersion(stopped);
    })
  );
}

/** Requests per second by route. */
const TRAFFIC = { look: 75, order: 12, scan: 5 };
const SEEDS = [1, 2, 3, 4, 5, 6];

const FAULTS: Record<string, Version> = {
  "fails almost half of its requests": {
    isBad: ({ random }) => random() < 0.44,
  },
  "fails on one route": {
    isBad: ({ routeId, random }) => routeId === "scan" && random() < 0.44,
  },
  "fails after some seconds": {
    isBad: ({ nowMs, random }) => nowMs > 3_500 && random() < 0.44,
  },
  "fails at a higher share": {
    isBad: ({ share, random }) => share > 0.3 && random() < 0.44,
  },
};

// Guards against bad versions that get more than the stated fraction of the
// service's requests, or any request more than 5 s after the fiftieth bad
// response.
test("a bad version is stopped within the exposure bound", () => {
  for (const [name, newVersion] of Object.entries(FAULTS)) {
    for (const durationMs of [12_000, 16_000]) {
      for (const seed of SEEDS) {
        const scenario = {
          requestsPerS: TRAFFIC,
          durationMs,
          newVersion,
          oldVersion: GOOD,
        };
        const { outcome, all, exposed, late } = simulate(scenario, seed);
        const message = `${name}, ${durationMs} ms, seed ${seed}`;
        assert.ok(
          exposed <= EXPOSURE.share * all + EXPOSURE.slackRequests,
          message,
        );
        assert.equal(late, 0, message);
        assert.equal(outcome, "rolled_back", message);
      }
    }
  }
});

// Guards against good versions whose release is not complete by its deadline,
// or that are stopped because of faults that all versions share.
test("a good version is complete by its deadline", () => {
  const sharedBehaviours: Record<string, Version> = {
    "nothing fails": GOOD,
    "a tenth of all responses is bad": {
      isBad: ({ random }) => random() < 0.1,
    },
    "most responses are bad for two seconds": {
      isBad: ({ nowMs, random }) =>
        random() < (nowMs > 4_000 && nowMs < 6_000 ? 0.9 : 0.005),
    },
  };
  for (const [name, version] of Object.entries(sharedBehaviours)) {
    for (const seed of SEEDS) {
      const scenario = {
        requestsPerS: TRAFFIC,
        durationMs: 16_000,
        newVersion: version,
        oldVersion: version,
      };
      const { outcome } = simulate(scenario, seed);
      assert.equal(outcome, "complete", `${name}, seed ${seed}`);
    }
  }
});

// Guards against a good version that waits for responses on a route which a
// configuration has moved to another service, until its deadline has passed.
test("a route that has moved away does not hold a release", () => {
  for (const seed of SEEDS) {
    const scenario = {
      requestsPerS: TRAFFIC,
      movesMs: { scan: 2_500 },
      durationMs: 14_000,
      newVersion: GOOD,
      oldVersion: GOOD,
    };
    assert.equal(simulate(scenario, seed).outcome, "complete", `seed ${seed}`);
  }
});

// Guards against a release that starts anew because the host that writes its
// outcome has restarted.
test("a rolling restart of the hosts does not delay a release", () => {
  for (const seed of SEEDS) {
    const scenario = {
      requestsPerS: TRAFFIC,
      durationMs: 15_000,
      newVersion: GOOD,
      oldVersion: GOOD,
      restartMs: (host: number) => 11_000 - 900 * host,
    };
    assert.equal(simulate(scenario, seed).outcome, "complete", `seed ${seed}`);
  }
});

// Guards against a share that is raised on stale data, and against a bad
// version that keeps its traffic because the store or other hosts are
// unreachable.
test("without the store or a quorum no share is raised and faults still stop", () => {
  const outages: Record<string, Partial<Scenario>> = {
    "the store is unreachable": {
      reachesStore: (_host, nowMs) => nowMs < 1_000,
    },
    "hosts receive no reports": {
      receives: (_from, _to, nowMs) => nowMs < 1_000,
    },
  };
  for (const [name, outage] of Object.entries(outages)) {
    for (
      const newVersion of [GOOD, FAULTS["fails almost half of its requests"]]
    ) {
      const scenario = {
        requestsPerS: TRAFFIC,
        durationMs: 14_000,
        newVersion,
        oldVersion: GOOD,
        ...outage,
      };
      const { outcome, all, exposed } = simulate(scenario, 11);
      assert.notEqual(outcome, "complete", name);
      assert.ok(exposed <= EXPOSURE.share * all + EXPOSURE.slackRequests, name);
    }
  }
});

// Guards against traffic for a version that no operator has ordered.
test("a version without an order gets no traffic", () => {
  const releases = new Releases(new VersionCounts(), () => ({
    exposureShare: 0.1,
  }));
  releases.recordVersions("desk", new Map([["v2", 900], ["v1", 100]]));
  for (const versionBucket of [0, 0.01, 0.5, 0.99]) {
    assert.deepEqual(releases.getVersionRule("desk", "look", versionBucket), {
      type: "only",
      version: "v1",
    });
  }
  releases.recordVersions("desk", new Map([["v3", 50], ["v1", 100]]));
  assert.deepEqual(releases.getVersionRule("desk", "look", 0.5), {
    type: "only",
    version: "v1",
  });
});

// Guards against an ended release that starts anew because the store was
// restored from a copy without its outcome.
test("an outcome that the store has lost is written again", () => {
  for (const outcome of ["complete", "rolled_back"] as const) {
    const releases = new Releases(new VersionCounts(), () => ({
      exposureShare: 0.1,
    }));
    releases.recordVersions("desk", new Map([["v1", 100]]));
    const order: ReleaseOrder = {
      service: "desk",
      version: "v2",
      durationMs: 12_000,
      outcome,
      revision: 7,
    };
    const restored: ReleaseOrder = {
      ...order,
      outcome: "ordered",
      revision: 5,
    };
    releases.setOrders([order], 0);
    releases.setOrders([restored], 1_000);
    const effects = releases.tick({
      storeAgeMs: 0,
      hasQuorum: true,
      leadsTo: () => true,
      isTaskOwner: () => true,
    }, 1_100);
    const writes = effects.filter((effect) => effect.type === "write");
    assert.deepEqual(
      writes.map((write) => [write.outcome, write.order.revision]),
      [[outcome, 5]],
    );
    assert.deepEqual(releases.getVersionRule("desk", "look", 0.01), {
      type: "only",
      version: outcome === "complete" ? "v2" : "v1",
    });
    assert.equal(releases.getServicesInRelease().size, 0);
  }
});
