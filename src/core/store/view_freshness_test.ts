import { test } from "node:test";
import { openSnapshots } from "../../testing/snapshot.ts";
import type { StorePosition } from "./position.ts";
import { type ViewConfirmation, ViewFreshness } from "./view_freshness.ts";

const matchSnapshot = await openSnapshots(import.meta.url);

const LIMITS = { watcherMs: 500, nonWatcherMs: 1_100 };
const POSITION: StorePosition = { epoch: 1, revision: 40 };

const CONFIRMATION: ViewConfirmation = {
  kind: "targets",
  changedPosition: POSITION,
  position: { epoch: 1, revision: 44 },
  ageMs: 300,
};

/** Knowledge of a host at 10 s, by what it has learned. */
const CASES: Record<string, (freshness: ViewFreshness) => unknown> = {
  "nothing is known": () => {},
  "an own call was answered": (freshness) =>
    freshness.recordOwn("targets", 9_600),
  "an earlier call is answered last": (freshness) => {
    freshness.recordOwn("targets", 9_600);
    freshness.recordOwn("targets", 9_000);
  },
  "another host has confirmed the same changes": (freshness) =>
    freshness.recordPeer(CONFIRMATION, POSITION, 9_900),
  "another host holds a later change": (freshness) =>
    freshness.recordPeer(
      { ...CONFIRMATION, changedPosition: { epoch: 1, revision: 41 } },
      POSITION,
      9_900,
    ),
  "another host holds fewer changes": (freshness) =>
    freshness.recordPeer(
      { ...CONFIRMATION, changedPosition: { epoch: 1, revision: 39 } },
      POSITION,
      9_900,
    ),
  "another host lost the store some time ago": (freshness) =>
    freshness.recordPeer({ ...CONFIRMATION, ageMs: 1_000 }, POSITION, 9_900),
  "the last report of another host is old": (freshness) =>
    freshness.recordPeer(CONFIRMATION, POSITION, 8_900),
  "this process was paused after it had confirmed": (freshness) => {
    freshness.recordOwn("targets", 9_600);
    freshness.recordPause(9_700);
  },
  "a report waited in the socket during a pause": (freshness) => {
    freshness.recordPause(9_700);
    return freshness.recordPeer(CONFIRMATION, POSITION, 9_710);
  },
  "a report arrived some time after a pause": (freshness) => {
    freshness.recordPause(9_200);
    return freshness.recordPeer(CONFIRMATION, POSITION, 9_900);
  },
};

// Guards against a host that relies on watchers which have lost the store, and
// sends requests to targets that left meanwhile.
test("a host confirms a view when what it knows becomes too old", (t) => {
  const results: Record<string, unknown> = {};
  for (const [name, learn] of Object.entries(CASES)) {
    const freshness = new ViewFreshness();
    const accepted = learn(freshness);
    const nowMs = 10_000;
    const isDue = (isWatcher: boolean) =>
      freshness.isDue("targets", LIMITS, { isWatcher, nowMs });
    results[name] = {
      accepted,
      ageMs: freshness.ageMs("targets", nowMs),
      ownAgeMs: freshness.ownAgeMs("targets", nowMs),
      dueOnWatcher: isDue(true),
      dueOnOthers: isDue(false),
    };
  }
  matchSnapshot(t, results);
});
