import assert from "node:assert/strict";
import { test } from "node:test";
import { openSnapshots } from "../../testing/snapshot.ts";
import { LagDetector, type LagInputs } from "./lag_detector.ts";
import type { StorePosition } from "./position.ts";
import type { ObjectKind } from "./types.ts";

const matchSnapshot = await openSnapshots(import.meta.url);

function inputs(
  ownRevision: number,
  peerRevision: number,
  { isStoreFailing = false, peerEpoch = 1 } = {},
): LagInputs {
  return {
    ownPositions: new Map<ObjectKind, StorePosition>([
      ["targets", { epoch: 1, revision: ownRevision }],
    ]),
    peers: [{
      peerAddress: "192.0.2.2:7600",
      positions: new Map<ObjectKind, StorePosition>([
        ["targets", { epoch: peerEpoch, revision: peerRevision }],
      ]),
    }],
    isStoreFailing,
  };
}

function effectsOverTime(lagInputs: LagInputs): string[] {
  const detector = new LagDetector();
  const lines: string[] = [];
  for (let nowMs = 0; nowMs <= 3_000; nowMs += 100) {
    for (const effect of detector.tick(lagInputs, nowMs)) {
      lines.push(`${nowMs} ms: ${effect.type} ${effect.kind}`);
    }
  }
  return lines;
}

// Guards against a dead watch that is noticed only at its timeout, and against
// fetches from peers at every short lag.
test("a lag restarts the watch, then fetches from a peer", (t) => {
  matchSnapshot(t, {
    reachable: effectsOverTime(inputs(5, 9)),
    unreachable: effectsOverTime(inputs(5, 9, { isStoreFailing: true })),
    restored: effectsOverTime(inputs(5, 3, { peerEpoch: 2 })),
  });
});

// Guards against restarted watches and fetches without a lag.
test("a host that holds all changes has no effects", () => {
  const detector = new LagDetector();
  assert.deepEqual(detector.tick(inputs(9, 9), 0), []);
  assert.deepEqual(
    detector.tick(inputs(9, 9, { isStoreFailing: true }), 5_000),
    [],
  );
});
