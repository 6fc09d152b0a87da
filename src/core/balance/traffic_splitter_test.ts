import assert from "node:assert/strict";
import { test } from "node:test";
import { createSeededRandom } from "../../testing/random.ts";
import { sampleRoute } from "../../testing/samples.ts";
import { hash32 } from "../hash32.ts";
import { TrafficSplitter } from "./traffic_splitter.ts";

const route = sampleRoute({
  parts: [
    { service: "a", weight: 90 },
    { service: "b", weight: 10 },
    { service: "c", weight: 0 },
  ],
});

// Guards against services that miss their share because few objects get most
// of the requests. The stated bound is a deviation of 0.1 from the share.
test("each service gets its share, even if few objects are popular", () => {
  for (const objectCount of [1, 3, 24, 1_000]) {
    const random = createSeededRandom(objectCount);
    const splitter = new TrafficSplitter();
    const counts = { a: 0, b: 0, c: 0 };
    for (let i = 0; i < 300; i++) {
      const key = `object-${Math.floor(random() * objectCount)}`;
      counts[splitter.pickService(route, hash32(key)) as "a" | "b" | "c"] += 1;
    }
    assert.equal(counts.c, 0);
    assert.ok(
      Math.abs(counts.b / 300 - 0.1) < 0.1,
      `${objectCount} objects: ${counts.b}`,
    );
  }
});

// Guards against objects that alternate between services, so that the targets
// of each have to hold them.
test("requests for an object mostly go to one service", () => {
  const random = createSeededRandom(5);
  const splitter = new TrafficSplitter();
  const evenRoute = sampleRoute({
    parts: [{ service: "a", weight: 1 }, { service: "b", weight: 1 }],
  });
  const countsByKey = new Map<string, number[]>();
  for (let i = 0; i < 2_000; i++) {
    const key = `object-${Math.floor(random() * 100)}`;
    const counts = countsByKey.get(key) ?? [0, 0];
    counts[splitter.pickService(evenRoute, hash32(key)) === "a" ? 0 : 1] += 1;
    countsByKey.set(key, counts);
  }
  const majorFractions = [...countsByKey.values()].map(([a, b]) =>
    Math.max(a, b) / (a + b)
  );
  const mean = majorFractions.reduce((a, b) => a + b, 0) /
    majorFractions.length;
  assert.ok(mean > 0.9, `${mean}`);
});

// Guards against surpluses that are carried over to new weights.
test("new weights apply from the next request on", () => {
  const splitter = new TrafficSplitter();
  for (let i = 0; i < 100; i++) splitter.pickService(route, hash32(`o${i}`));
  const changedRoute = { ...route, parts: [{ service: "b", weight: 1 }] };
  assert.equal(splitter.pickService(changedRoute, 1), "b");
});
