import assert from "node:assert/strict";
import { test } from "node:test";
import { DocumentLag } from "./document_lag.ts";

const PEERS = [
  { peerAddress: "192.0.2.2:7600", documentVersion: 8 },
  { peerAddress: "192.0.2.3:7600", documentVersion: 9 },
];

function findFetchTimes(startedMs: number, ownVersion: number): number[] {
  const lag = new DocumentLag(startedMs);
  const timesMs: number[] = [];
  for (let nowMs = 10_000; nowMs <= 12_000; nowMs += 100) {
    const address = lag.tick(ownVersion, PEERS, nowMs);
    if (address === undefined) continue;
    assert.equal(address, "192.0.2.3:7600");
    timesMs.push(nowMs - 10_000);
  }
  return timesMs;
}

// Guards against a host that serves the document of an old copy although its
// peers apply a later one, and against fetches while a new one spreads.
test("a later document is fetched at once after a start, else after a lag", () => {
  assert.deepEqual(findFetchTimes(9_000, 6), [0, 500, 1_000, 1_500, 2_000]);
  assert.deepEqual(findFetchTimes(0, 6), [1_000, 1_500, 2_000]);
  assert.deepEqual(findFetchTimes(9_000, 9), []);
});
