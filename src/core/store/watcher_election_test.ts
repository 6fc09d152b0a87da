import assert from "node:assert/strict";
import { test } from "node:test";
import { type PeerWatchState, WatcherElection } from "./watcher_election.ts";

const WORKING: PeerWatchState = {
  watches: true,
  isFailing: false,
  storeAgeMs: 100,
};

/** Asks four times a second and returns when the answer last changed. */
function play(
  duty: WatcherElection,
  { rank, peers, fromMs, untilMs }: {
    rank: number;
    peers: readonly PeerWatchState[];
    fromMs: number;
    untilMs: number;
  },
): number | undefined {
  let changedMs: number | undefined;
  for (let nowMs = fromMs; nowMs <= untilMs; nowMs += 250) {
    if (duty.tick(rank, peers, nowMs)) changedMs = nowMs;
  }
  return changedMs;
}

// Guards against a call for each host and change while a fleet starts, as no
// host knows of the others yet.
test("a host does not watch in its first second", () => {
  const duty = new WatcherElection(0);
  assert.equal(duty.watches, false);
  play(duty, { rank: 0, peers: [], fromMs: 0, untilMs: 750 });
  assert.equal(duty.watches, false);
  play(duty, { rank: 0, peers: [], fromMs: 1_000, untilMs: 1_000 });
  assert.equal(duty.watches, true);
});

// Guards against hosts that rely on watchers which the store does not answer.
test("a host watches when no working watcher is heard", () => {
  const broken = [
    { ...WORKING, isFailing: true },
    { ...WORKING, storeAgeMs: 9_000 },
    { ...WORKING, watches: false },
  ];
  for (const peer of [WORKING, ...broken]) {
    const duty = new WatcherElection(0);
    const isWorking = peer === WORKING;
    play(duty, { rank: 7, peers: [peer], fromMs: 1_000, untilMs: 3_000 });
    assert.equal(duty.watches, !isWorking, JSON.stringify(peer));
  }
});

// Guards against watches that go on at all hosts after the watchers are back.
test("a host hands back its watch after some time", () => {
  const duty = new WatcherElection(0);
  play(duty, { rank: 7, peers: [], fromMs: 1_000, untilMs: 2_000 });
  assert.equal(duty.watches, true);
  const changedMs = play(duty, {
    rank: 7,
    peers: [WORKING],
    fromMs: 2_250,
    untilMs: 9_000,
  });
  assert.equal(duty.watches, false);
  assert.ok(changedMs !== undefined && changedMs >= 4_000);
});
