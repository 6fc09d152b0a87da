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
      hasTargetPath: false,
      build: "0.1.0+1a2b3c4",
      hasMissedReports: false,
    },
    positions: new Map([["targets", { epoch: 3, revision: 40 + n }]]),
    documentVersion: 7,
    demands: new Map([["drivers", { requestsPerS: 1.5, admitted: 4 }]]),
    counts: [],
    stopped: [{ service: "desk", version: "v2", reason: "bad" }],
    releases: [],
    limits: [
      { targetId: "t1", startedMs: 5, limitPerS: n, ageMs: 100 * n },
      { targetId: `u${n}`, startedMs: 6, limitPerS: undefined, ageMs: 20 },
    ],
    observations: [
      {
        targetHash: 2 ** 32 - n,
        running: n,
        waiting: 0,
        pacePercent: 250,
        ageMs: 7,
      },
    ],
    leavingTargets: [{ targetId: "t2", startedMs: 8 }],
    store: {
      watches,
      isFailing: false,
      ageMs: 20,
      sinceReturnMs: Infinity,
      confirmations: watches
        ? [{
          kind: "targets",
          changedPosition: { epoch: 3, revision: 40 + n },
          position: { epoch: 3, revision: 50 },
          ageMs: 30,
        }]
        : [],
    },
    crashReports: [{ fingerprint: "f", targetId: "t", ageMs: 5 }],
    rememberedCrashes: [{ fingerprint: "g", targetId: "", ageMs: 60_000 }],
  };
}

// Guards against hosts or sums of a zone that change on the way to another one.
test("a zone summary is unchanged by encoding and decoding", () => {
  const count = {
    service: "desk",
    routeId: "look",
    version: "v1",
    answers: 9,
    bad: 2,
  };
  const reports = [report(1, true), report(2, false)];
  const summary = summarizeZone(reports[0], [reports[1]], {
    demands: new Map([
      ["drivers", { requestsPerS: 3, admitted: 8, reservedFraction: 0.25 }],
      ["shops", { requestsPerS: 1, admitted: 2, reservedFraction: 0 }],
    ]),
    counts: [count],
    observations: reports.flatMap(({ observations }) => observations),
  });
  assert.equal(summary.crashReports.length, 1);
  assert.deepEqual(
    summary.limits.map(({ targetId, limitPerS }) => [targetId, limitPerS]),
    [["t1", 1], ["u1", undefined], ["u2", undefined]],
  );
  const decoded = decodeZoneSummary({
    availabilityZone: "north-a",
    authorId: "host-1",
    startedMs: 1,
    sequence: 1,
    summary: encodeZoneSummary(summary),
  });
  // Generated messages have an additional field with the name of their type.
  const toPlain = (value: unknown) =>
    JSON.parse(JSON.stringify(value, (key, field) => {
      if (key === "$typeName") return undefined;
      return field instanceof Map ? [...field] : field;
    }));
  assert.deepEqual(toPlain(decoded), toPlain(summary));
});
