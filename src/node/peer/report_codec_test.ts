import assert from "node:assert/strict";
import { test } from "node:test";
import { type HostReport } from "../../core/membership/report.ts";
import { summarizeZone } from "../../core/membership/zone_summary.ts";
import { decodeZoneSummary, encodeZoneSummary } from "./report_codec.ts";

function report(n: number, watches: boolean): HostReport {
  return {
    record: {
      id: `host-${n}`,
      availabilityZone: "north-a",
      region: "north",
      callerAddress: `192.0.2.${n}:80`,
      peerAddress: `192.0.2.${n}:90`,
      startedMs: 1_700_000_000_000 + n,
      sequence: n,
      state: "ready",
    },
    revisions: new Map([["targets", 40 + n]]),
    demands: new Map([["drivers", { requestsPerS: 1.5, admitted: 4 }]]),
    counts: [],
    stopped: [{ service: "desk", version: "v2", reason: "bad" }],
    releases: [],
    store: { watches, isFailing: false, ageMs: 20, sinceReturnMs: Infinity },
    blames: [{ fingerprint: "f", targetId: "t" }],
  };
}

// Guards against a zone whose sums or hosts change on the way to another one.
test("a zone's summary arrives as it was put together", () => {
  const count = {
    service: "desk",
    routeId: "look",
    version: "v1",
    answers: 9,
    bad: 2,
  };
  const summary = summarizeZone(report(1, true), [report(2, false)], [count]);
  assert.deepEqual(summary.demands.get("drivers"), {
    requestsPerS: 3,
    admitted: 8,
  });
  assert.equal(summary.blames.length, 1);
  const decoded = decodeZoneSummary({
    availabilityZone: "north-a",
    authorId: "host-1",
    startedMs: 1,
    sequence: 1,
    summary: encodeZoneSummary(summary),
  });
  // Fields of generated messages carry their type's name.
  const plain = (value: unknown) =>
    JSON.parse(JSON.stringify(value, (key, inner) => {
      if (key === "$typeName") return undefined;
      return inner instanceof Map ? [...inner] : inner;
    }));
  assert.deepEqual(plain(decoded), plain(summary));
});
