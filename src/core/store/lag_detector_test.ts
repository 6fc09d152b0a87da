import assert from "node:assert/strict";
import { test } from "node:test";
import { openSnapshots } from "../../testing/snapshot.ts";
import { LagDetector, type LagInputs } from "./lag_detector.ts";
import type { ObjectKind } from "./types.ts";

const matchSnapshot = await openSnapshots(import.meta.url);

function inputs(own: number, peer: number, storeFails = false): LagInputs {
  return {
    ownRevisions: new Map<ObjectKind, number>([["targets", own]]),
    peers: [{
      peerAddress: "192.0.2.2:7600",
      revisions: new Map<ObjectKind, number>([["targets", peer]]),
    }],
    isStoreFailing: storeFails,
  };
}

function actions(storeFails: boolean): string[] {
  const sync = new LagDetector();
  const lines: string[] = [];
  for (let nowMs = 0; nowMs <= 3_000; nowMs += 100) {
    for (const effect of sync.tick(inputs(5, 9, storeFails), nowMs)) {
      lines.push(`${nowMs} ms: ${effect.type} ${effect.kind}`);
    }
  }
  return lines;
}

// Guards against a silent watch that is noticed only at its end, and against
// fetches from peers for each short lag.
test("a lag leads to a new watch, then to a fetch", (t) => {
  matchSnapshot(t, { reachable: actions(false), cutOff: actions(true) });
});

// Guards against actions without a lag.
test("a host that holds all changes does nothing", () => {
  const sync = new LagDetector();
  assert.deepEqual(sync.tick(inputs(9, 9), 0), []);
  assert.deepEqual(sync.tick(inputs(9, 9, true), 5_000), []);
});
