import assert from "node:assert/strict";
import { test } from "node:test";
import { MAX_LINEAR_GROWTH, measureGrowth } from "../../testing/growth.ts";
import { openSnapshots } from "../../testing/snapshot.ts";
import { CrashAttribution } from "./crash_attribution.ts";

const matchSnapshot = await openSnapshots(import.meta.url);

/**
 * Steps of each case. `<target>: <fingerprints>` is a crash with these in
 * flight, `ok <fingerprint>` a response to it, and
 * `reported <fingerprint> <target>` a crash that another host reported.
 */
const CASES: Record<string, readonly string[]> = {
  "alone in flight at two crashes": ["t1: crash", "t2: crash"],
  "in flight with others at two crashes": ["t1: crash a b c", "t2: crash d e"],
  "two crashes of the same target": ["t1: crash", "t1: crash"],
  "another request in flight at both crashes": [
    "t1: crash a",
    "t2: crash a",
    "t3: crash",
  ],
  "a frequent request that got a response before": [
    "ok a",
    "t1: a b",
    "t2: a c",
    "t3: a",
  ],
  "a response between two crashes": ["t1: a", "ok a", "t2: a"],
  "one crash observed, one reported": ["reported crash t1", "t2: crash a"],
  "two reported crashes": ["reported a t1", "reported a t2"],
  "a region fails, each crash with other requests": [
    "t1: a b",
    "t2: c d",
    "t3: e f",
  ],
};

// Guards against blocking requests that were in flight by chance, and against
// missing a request that crashes targets.
test("only the request that crashes targets is blocked", (t) => {
  const results = Object.entries(CASES).map(([name, steps]) => {
    const attribution = new CrashAttribution();
    const blocked = steps.flatMap((step, i) => {
      const nowMs = i * 5_000;
      if (step.startsWith("ok ")) {
        attribution.recordResponse(step.slice(3), "v1");
        return [];
      }
      if (step.startsWith("reported ")) {
        const [, fingerprint, targetId] = step.split(" ");
        attribution.recordReportedCrash(fingerprint, { targetId }, nowMs);
        return [];
      }
      const [targetId, inFlight] = step.split(": ");
      for (const fingerprint of inFlight.split(" ")) {
        attribution.recordBrokenAttempt(
          targetId,
          { fingerprint, version: "v1" },
          nowMs,
        );
      }
      return attribution.recordRefusedConnection(targetId, nowMs + 2).blocked;
    });
    const suspicionScores = Object.fromEntries(
      ["crash", "a", "b"].map((
        fingerprint,
      ) => [fingerprint, attribution.suspicionScore(fingerprint)]),
    );
    return { name, blocked, suspicionScores };
  });
  matchSnapshot(t, results);
});

// Guards against a target that crashes with many requests and keeps a host busy
// for a time that grows with the square of their number.
test("the time to attribute a crash grows with the number of requests", () => {
  const growth = measureGrowth((count) => {
    const attribution = new CrashAttribution();
    return () => {
      for (const targetId of ["t1", "t2"]) {
        for (let i = 0; i < count; i++) {
          attribution.recordBrokenAttempt(
            targetId,
            { fingerprint: `f${i}`, version: "v1" },
            0,
          );
        }
        attribution.recordRefusedConnection(targetId, 0);
      }
    };
  }, 600);
  assert.ok(growth < MAX_LINEAR_GROWTH, `${growth}`);
});
