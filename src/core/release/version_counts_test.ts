import assert from "node:assert/strict";
import { test } from "node:test";
import { VersionCounts } from "./version_counts.ts";

function count(service: string, answers: number) {
  return { service, routeId: "look", version: "v2", answers, bad: 0 };
}

// Guards against counts of processes and zones that have ended, which grow with
// each restart and are added to the next release of the service.
test("counts of services that are not in release are dropped", () => {
  const counts = new VersionCounts();
  counts.setPeerCounts("host-1 100", [count("desk", 4), count("store", 7)]);
  counts.setPeerCounts("host-1 200", [count("desk", 5)]);
  counts.setZoneCounts("north-b", [count("desk", 6), count("store", 8)]);
  const answersOf = (service: string, nowMs: number) => {
    counts.update(nowMs);
    return counts.getCountsByRoute(service, "v2").get("look")?.answers ?? 0;
  };
  assert.equal(answersOf("desk", 0), 15);
  counts.retainServices(new Set(["store"]));
  assert.equal(answersOf("desk", 1_000), 0);
  assert.equal(answersOf("store", 2_000), 15);
  counts.setPeerCounts("host-1 200", [count("desk", 1)]);
  assert.equal(answersOf("desk", 3_000), 1);
});
