import assert from "node:assert/strict";
import { test } from "node:test";
import { seededRandom } from "../../testing/random.ts";
import { Releases } from "./releases.ts";
import type { ReleaseOrder, ReleaseOutcome } from "./types.ts";
import { VersionCounts } from "./version_counts.ts";

const HOSTS = 12;
const STEP_MS = 10;
const EXPOSURE = { share: 0.1, slack: 50 };

interface Version {
  /** Whether an answer is bad. */
  isBad(context: {
    readonly routeId: string;
    readonly nowMs: number;
    /** Part of the requests that the version gets now. */
    readonly share: number;
    readonly random: () => number;
  }): boolean;
}

interface World {
  readonly perS: Readonly<Record<string, number>>;
  readonly durationMs: number;
  readonly newer: Version;
  readonly older: Version;
  /** When a host restarts and knows nothing; never if absent. */
  readonly restartMs?: (host: number) => number;
  /** Whether a host reaches the store. */
  readonly reachesStore?: (host: number, nowMs: number) => boolean;
  /** Whether hosts hear each other. */
  readonly hears?: (a: number, b: number, nowMs: number) => boolean;
}

const GOOD: Version = { isBad: ({ random }) => random() < 0.005 };

/** Plays a release from its order until after its deadline. */
function play(world: World, seed: number) {
  const random = seededRandom(seed);
  let outcome: ReleaseOutcome = "ordered";
  let revision = 1;
  const order = (): ReleaseOrder => ({
    service: "desk",
    version: "v2",
    durationMs: world.durationMs,
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
    return { counts, releases, run: `run-${runs}` };
  };
  let runs = 0;
  const hosts = Array.from({ length: HOSTS }, createHost);
  let all = 0;
  let exposed = 0;
  let bad = 0;
  let fiftiethMs = Infinity;
  let late = 0;
  const recent: boolean[] = [];
  for (let nowMs = 0; nowMs < world.durationMs + 6_000; nowMs += STEP_MS) {
    hosts.forEach((_, i) => {
      if (world.restartMs?.(i) === nowMs) hosts[i] = createHost();
    });
    const reaches = (i: number) => world.reachesStore?.(i, nowMs) ?? true;
    const hears = (a: number, b: number) => world.hears?.(a, b, nowMs) ?? true;
    hosts.forEach(({ releases }, i) => {
      if (nowMs % 400 === 0 && reaches(i)) releases.setOrders([order()], nowMs);
    });
    if (nowMs % 250 === 0) exchange(hosts, hears, nowMs);
    if (nowMs % 100 === 0) {
      hosts.forEach(({ releases }, i) => {
        const effects = releases.tick({
          storeAgeMs: reaches(i) ? 0 : 10_000,
          hasQuorum: 2 *
              hosts.filter((_, j) => j === i || hears(j, i)).length > HOSTS,
          isTaskOwner: () => i === 0,
        }, nowMs);
        for (const effect of effects) {
          if (effect.type !== "write" || !reaches(i)) continue;
          if (effect.order.revision !== revision) continue;
          outcome = effect.outcome;
          revision += 1;
        }
      });
    }
    for (const [routeId, perS] of Object.entries(world.perS)) {
      if (random() >= perS * STEP_MS / 1_000) continue;
      const { counts, releases } = hosts[Math.floor(random() * HOSTS)];
      const rule = releases.getVersionRule("desk", routeId, random());
      const isNew = rule.type === "only" && rule.version === "v2";
      recent.push(isNew);
      if (recent.length > 100) recent.shift();
      const share = recent.filter(Boolean).length / recent.length;
      const version = isNew ? world.newer : world.older;
      const isBad = version.isBad({ routeId, nowMs, share, random });
      const name = isNew ? "v2" : "v1";
      counts.recordResponse({ service: "desk", routeId, version: name }, isBad);
      if (nowMs <= world.durationMs) {
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

type Host = { counts: VersionCounts; releases: Releases; run: string };

function exchange(
  hosts: readonly Host[],
  hears: (a: number, b: number) => boolean,
  nowMs: number,
): void {
  const services = new Set(["desk"]);
  const reports = hosts.map(({ counts, releases, run }) => ({
    run,
    counts: counts.localCounts(services),
    stopped: releases.stoppedVersions(),
    progress: releases.progress(nowMs),
  }));
  hosts.forEach(({ counts, releases }, to) =>
    reports.forEach((report, from) => {
      if (from === to || !hears(from, to)) return;
      counts.setPeerCounts(report.run, report.counts);
      releases.recordProgress(report.progress, nowMs);
      for (const stopped of report.stopped) releases.stop(stopped);
    })
  );
}

const TRAFFIC = { look: 75, order: 12, scan: 5 };
const SEEDS = [1, 2, 3, 4, 5, 6];

const FAULTS: Record<string, Version> = {
  "fails half of its requests": { isBad: ({ random }) => random() < 0.44 },
  "fails on one route": {
    isBad: ({ routeId, random }) => routeId === "scan" && random() < 0.44,
  },
  "fails late": {
    isBad: ({ nowMs, random }) => nowMs > 3_500 && random() < 0.44,
  },
  "fails under load": {
    isBad: ({ share, random }) => share > 0.3 && random() < 0.44,
  },
};

// Guards against bad versions that get more than the stated part of the
// service's requests, or any later than 5 s after the fiftieth bad answer.
test("a bad version is stopped within the bounds", () => {
  for (const [name, newer] of Object.entries(FAULTS)) {
    for (const durationMs of [12_000, 16_000]) {
      for (const seed of SEEDS) {
        const world = { perS: TRAFFIC, durationMs, newer, older: GOOD };
        const { outcome, all, exposed, late } = play(world, seed);
        const what = `${name}, ${durationMs} ms, seed ${seed}`;
        assert.ok(exposed <= EXPOSURE.share * all + EXPOSURE.slack, what);
        assert.equal(late, 0, what);
        assert.equal(outcome, "rolled_back", what);
      }
    }
  }
});

// Guards against good versions that are not finished by their deadline, or
// are stopped because of faults that all versions share.
test("a good version is complete by its deadline", () => {
  const shared: Record<string, Version> = {
    "nothing fails": GOOD,
    "a tenth of all answers is bad": {
      isBad: ({ random }) => random() < 0.1,
    },
    "all answers are bad for two seconds": {
      isBad: ({ nowMs, random }) =>
        random() < (nowMs > 4_000 && nowMs < 6_000 ? 0.9 : 0.005),
    },
  };
  for (const [name, version] of Object.entries(shared)) {
    for (const seed of SEEDS) {
      const world = {
        perS: TRAFFIC,
        durationMs: 16_000,
        newer: version,
        older: version,
      };
      const { outcome } = play(world, seed);
      assert.equal(outcome, "complete", `${name}, seed ${seed}`);
    }
  }
});

// Guards against a release that starts again because the host which writes its
// outcome has restarted.
test("restarts of hosts one after the other delay nothing", () => {
  for (const seed of SEEDS) {
    const world = {
      perS: TRAFFIC,
      durationMs: 15_000,
      newer: GOOD,
      older: GOOD,
      restartMs: (host: number) => 11_000 - 900 * host,
    };
    assert.equal(play(world, seed).outcome, "complete", `seed ${seed}`);
  }
});

// Guards against a share that is raised on stale knowledge, and against a bad
// version that goes on because its evaluation lost the store or its peers.
test("without the store or most hosts nothing is raised, a fault still stops", () => {
  const cuts: Record<string, Partial<World>> = {
    "the store is away": { reachesStore: (_host, nowMs) => nowMs < 1_000 },
    "hosts do not hear each other": {
      hears: (_a, _b, nowMs) => nowMs < 1_000,
    },
  };
  for (const [name, cut] of Object.entries(cuts)) {
    for (const newer of [GOOD, FAULTS["fails half of its requests"]]) {
      const world = {
        perS: TRAFFIC,
        durationMs: 14_000,
        newer,
        older: GOOD,
        ...cut,
      };
      const { outcome, all, exposed } = play(world, 11);
      assert.notEqual(outcome, "complete", name);
      assert.ok(exposed <= EXPOSURE.share * all + EXPOSURE.slack, name);
    }
  }
});

// Guards against traffic for a version that nobody has ordered.
test("a version without an order gets nothing", () => {
  const releases = new Releases(new VersionCounts(), () => ({
    exposureShare: 0.1,
  }));
  releases.recordVersions("desk", new Map([["v2", 900], ["v1", 100]]));
  for (const unit of [0, 0.01, 0.5, 0.99]) {
    assert.deepEqual(releases.getVersionRule("desk", "look", unit), {
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
