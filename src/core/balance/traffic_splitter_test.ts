import assert from "node:assert/strict";
import { test } from "node:test";
import { seededRandom } from "../../testing/random.ts";
import { hash32 } from "../hash32.ts";
import { sampleRoute } from "../../testing/samples.ts";
import { TrafficSplitter } from "./traffic_splitter.ts";

const route = sampleRoute({
  parts: [
    { service: "a", weight: 90 },
    { service: "b", weight: 10 },
    { service: "c", weight: 0 },
  ],
});

// Guards against parts that miss their weight because few objects are asked
// for often. The stated bound is 0.1 off the weight.
test("each part gets its weight, also when few objects are popular", () => {
  for (const objects of [1, 3, 24, 1_000]) {
    const random = seededRandom(objects);
    const splitter = new TrafficSplitter();
    const counts = { a: 0, b: 0, c: 0 };
    for (let i = 0; i < 300; i++) {
      const key = `object-${Math.floor(random() * objects)}`;
      counts[splitter.pickService(route, hash32(key)) as "a" | "b" | "c"] += 1;
    }
    assert.equal(counts.c, 0);
    assert.ok(
      Math.abs(counts.b / 300 - 0.1) < 0.1,
      `${objects} objects: ${counts.b}`,
    );
  }
});

// Guards against objects that wander between the parts, so that both services
// have to hold them.
test("an object mostly goes to one part", () => {
  const random = seededRandom(5);
  const splitter = new TrafficSplitter();
  const even = sampleRoute({
    parts: [{ service: "a", weight: 1 }, { service: "b", weight: 1 }],
  });
  const seen = new Map<string, number[]>();
  for (let i = 0; i < 2_000; i++) {
    const key = `object-${Math.floor(random() * 100)}`;
    const counts = seen.get(key) ?? [0, 0];
    counts[splitter.pickService(even, hash32(key)) === "a" ? 0 : 1] += 1;
    seen.set(key, counts);
  }
  const major = [...seen.values()].map(([a, b]) => Math.max(a, b) / (a + b));
  const mean = major.reduce((a, b) => a + b, 0) / major.length;
  assert.ok(mean > 0.9, `${mean}`);
});

// Guards against a share that is remembered after the weights changed.
test("new weights count from now on", () => {
  const splitter = new TrafficSplitter();
  for (let i = 0; i < 100; i++) splitter.pickService(route, hash32(`o${i}`));
  const moved = { ...route, parts: [{ service: "b", weight: 1 }] };
  assert.equal(splitter.pickService(moved, 1), "b");
});
