import assert from "node:assert/strict";
import { test } from "node:test";
import { type PeerWatchState, WatcherElection } from "./watcher_election.ts";

const WORKING: PeerWatchState = {
  isWatching: true,
  isFailing: false,
  storeAgeMs: 100,
};

/** Ticks four times a second and returns the time of the last change. */
function run(
  election: WatcherElection,
  { rank, peers, fromMs, untilMs }: {
    rank: number;
    peers: readonly PeerWatchState[];
    fromMs: number;
    untilMs: number;
  },
): number | undefined {
  let changedMs: number | undefined;
  for (let nowMs = fromMs; nowMs <= untilMs; nowMs += 250) {
    if (election.tick(rank, peers, nowMs)) changedMs = nowMs;
  }
  return changedMs;
}

// Guards against a watch of every host while a fleet starts, as no host has
// received reports of the others yet.
test("a host does not watch in its first second", () => {
  const election = new WatcherElection(0);
  assert.equal(election.isWatcher, false);
  run(election, { rank: 0, peers: [], fromMs: 0, untilMs: 750 });
  assert.equal(election.isWatcher, false);
  run(election, { rank: 0, peers: [], fromMs: 1_000, untilMs: 1_000 });
  assert.equal(election.isWatcher, true);
});

// Guards against hosts that rely on watchers without access to the store.
test("a host watches when no working watcher reports", () => {
  const broken = [
    { ...WORKING, isFailing: true },
    { ...WORKING, storeAgeMs: 9_000 },
    { ...WORKING, isWatching: false },
  ];
  for (const peer of [WORKING, ...broken]) {
    const election = new WatcherElection(0);
    const isWorking = peer === WORKING;
    run(election, { rank: 7, peers: [peer], fromMs: 1_000, untilMs: 3_000 });
    assert.equal(election.isWatcher, !isWorking, JSON.stringify(peer));
  }
});

// Guards against watches of all hosts that continue after the elected watchers
// have recovered.
test("a host that is not elected stops watching after a delay", () => {
  const election = new WatcherElection(0);
  run(election, { rank: 7, peers: [], fromMs: 1_000, untilMs: 2_000 });
  assert.equal(election.isWatcher, true);
  const changedMs = run(election, {
    rank: 7,
    peers: [WORKING],
    fromMs: 2_250,
    untilMs: 9_000,
  });
  assert.equal(election.isWatcher, false);
  assert.ok(changedMs !== undefined && changedMs >= 4_000);
});
