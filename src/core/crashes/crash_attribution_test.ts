import { test } from "node:test";
import { openSnapshots } from "../../testing/snapshot.ts";
import { CrashAttribution } from "./crash_attribution.ts";

const matchSnapshot = await openSnapshots(import.meta.url);

/**
 * Deaths as `target: fingerprints in flight`; `ok` answers a fingerprint and
 * `heard` tells of a death that another host saw.
 */
const CASES: Record<string, readonly string[]> = {
  "alone, twice": ["t1: crash", "t2: crash"],
  "beside others, twice": ["t1: crash a b c", "t2: crash d e"],
  "the same target twice": ["t1: crash", "t1: crash"],
  "one neighbour at both deaths": ["t1: crash a", "t2: crash a", "t3: crash"],
  "a popular look-up that was answered before": [
    "ok a",
    "t1: a b",
    "t2: a c",
    "t3: a",
  ],
  "answered between two deaths": ["t1: a", "ok a", "t2: a"],
  "one death here, one at another host": ["heard crash t1", "t2: crash a"],
  "two deaths at other hosts": ["heard a t1", "heard a t2"],
  "a region fails": ["t1: a b", "t2: c d", "t3: e f"],
};

// Guards against blame of requests that were near a crash, and against a
// crashing request that is not found.
test("only the request that crashes targets is blocked", (t) => {
  const results = Object.entries(CASES).map(([name, steps]) => {
    const blame = new CrashAttribution();
    const blocked = steps.flatMap((step, i) => {
      const nowMs = i * 5_000;
      if (step.startsWith("ok ")) {
        blame.recordResponse(step.slice(3), "v1");
        return [];
      }
      if (step.startsWith("heard ")) {
        const [, fingerprint, id] = step.split(" ");
        blame.recordReportedCrash(fingerprint, id, nowMs);
        return [];
      }
      const [targetId, inFlight] = step.split(": ");
      for (const fingerprint of inFlight.split(" ")) {
        blame.recordBrokenAttempt(
          targetId,
          { fingerprint, version: "v1" },
          nowMs,
        );
      }
      return blame.recordRefusedConnection(targetId, nowMs + 2).blocked;
    });
    const marks = Object.fromEntries(
      ["crash", "a", "b"].map((one) => [one, blame.suspicionScore(one)]),
    );
    return { name, blocked, marks };
  });
  matchSnapshot(t, results);
});
