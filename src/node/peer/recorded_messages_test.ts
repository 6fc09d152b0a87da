import assert from "node:assert/strict";
import { test } from "node:test";
import { fromBinary, toBinary } from "@bufbuild/protobuf";
import { PeerDatagramSchema } from "../../gen/cranberryhoist/v1/peer_pb.ts";
import { openSnapshots } from "../../testing/snapshot.ts";
import { decodeDatagram, decodeZoneSummary } from "./report_codec.ts";

const matchSnapshot = await openSnapshots(import.meta.url);

/** A datagram that the build of 0090e15 has encoded, in base64. */
const DATAGRAM_OF_0090E15 = [
  "CsgCCgZob3N0LTESB25vcnRoLWEaBW5vcnRoIgwxOTIuMC4yLjE6ODAqDDE5Mi4wLjIuMTo5",
  "MDEAEIBW/rx4QjgBQgVyZWFkeUoVCghkb2N1bWVudBEAAAAAAABDQBgDShQKB3RhcmdldHMR",
  "AAAAAACAREAYA1oUCgRkZXNrEgRsb29rGgJ2MSAJKAJiDwoEZGVzaxICdjIaA2JhZGoGCgFm",
  "EgF0cgwIAR0AAKBBJQAAgL96FAoEZGVzaxICdjMdAABhRCUAAIC/ehUKBXZhdWx0EgJ2NB0A",
  "ALRCJQAAIEKCARIKB2RyaXZlcnMSBAAAwD8aAQSKARsKAnQxEQAAAAAAABRAGQAAAAAAAPA/",
  "JQAAyEKKARsKAnUxEQAAAAAAABhAGQAAAAAAAPC/JQAAoEGRAQAAAAAAABxAmgENCgJ0MhEA",
  "AAAAAAAgQArJAgoGaG9zdC0yEgdub3J0aC1hGgVub3J0aCIMMTkyLjAuMi4yOjgwKgwxOTIu",
  "MC4yLjI6OTAxACCAVv68eEI4AkIFcmVhZHlKFQoIZG9jdW1lbnQRAAAAAAAAQ0AYA0oUCgd0",
  "YXJnZXRzEQAAAAAAAEVAGANaFAoEZGVzaxIEbG9vaxoCdjEgCSgCYg8KBGRlc2sSAnYyGgNi",
  "YWRqBgoBZhIBdHIKHQAAoEElAADhQ3oUCgRkZXNrEgJ2Mx0AAGFEJQAAgL96FQoFdmF1bHQS",
  "AnY0HQAAtEIlAAAgQoIBEgoHZHJpdmVycxIEAADAPxoBBIoBGwoCdDERAAAAAAAAFEAZAAAA",
  "AAAAAEAlAABIQ4oBGwoCdTIRAAAAAAAAGEAZAAAAAAAA8L8lAACgQZEBAAAAAAAAHECaAQ0K",
  "AnQyEQAAAAAAACBAoAEBElIJAAAAAACAQ0ASRQoHdGFyZ2V0cxorCgJ0MREAAAAAAIBEQBoW",
  "eyJhZGRyIjoiMTkyLjAuMi45OjEifSIEbnVsbCICdDkpAAAAAACAREAwAxgBGrIDCgdub3J0",
  "aC1hEgZob3N0LTEZAAAAAAAA8D8gASqTAwoFbm9ydGgSRAoGaG9zdC0xEgwxOTIuMC4yLjE6",
  "ODAaDDE5Mi4wLjIuMTo5MCEAEIBW/rx4QigBMgVyZWFkeToMCAEdAACgQSUAAIC/EjgKBmhv",
  "c3QtMhIMMTkyLjAuMi4yOjgwGgwxOTIuMC4yLjI6OTAhACCAVv68eEIoAjIFcmVhZHlAARoV",
  "Cghkb2N1bWVudBEAAAAAAABDQBgDGhQKB3RhcmdldHMRAAAAAACAREAYAyISCgdkcml2ZXJz",
  "EgQAAEBAGgEIKhQKBGRlc2sSBGxvb2saAnYxIAkoAjIPCgRkZXNrEgJ2MhoDYmFkOhQKBGRl",
  "c2sSAnYzHQAAYUQlAACAvzoVCgV2YXVsdBICdjQdAAC0QiUAACBCQgYKAWYSAXRKGwoCdDER",
  "AAAAAAAAFEAZAAAAAAAA8D8lAADIQkobCgJ1MREAAAAAAAAYQBkAAAAAAADwvyUAAKBBShsK",
  "AnUyEQAAAAAAABhAGQAAAAAAAPC/JQAAoEFRAAAAAAAAHEBaDQoCdDIRAAAAAAAAIEA=",
].join("");

/** Replaces what JSON cannot hold, and leaves out the names of message types. */
function toPlain(value: unknown): unknown {
  return JSON.parse(JSON.stringify(value, (key, field) => {
    if (key === "$typeName" || key === "summary") return undefined;
    if (field === Infinity) return "Infinity";
    return field instanceof Map ? [...field] : field;
  }));
}

// Guards against a message whose fields change their number, type or meaning, so
// that hosts of an earlier build are misunderstood during an upgrade.
test("a datagram of an earlier build is decoded", (t) => {
  const bytes = Buffer.from(DATAGRAM_OF_0090E15, "base64");
  const { reports, pushedDeltas, zoneReports } = decodeDatagram(bytes);
  matchSnapshot(t, {
    reports: toPlain(reports),
    pushedDeltas: toPlain(pushedDeltas),
    zones: toPlain(zoneReports.map(decodeZoneSummary)),
  });
});

// Guards against a later build that adds a field, a kind of objects or a state of
// hosts, and whose reports are then lost or taken for something else.
test("what a later build adds leaves the rest of a datagram readable", () => {
  const bytes = Buffer.from(DATAGRAM_OF_0090E15, "base64");
  const message = fromBinary(PeerDatagramSchema, bytes);
  const added = { no: 900, wireType: 0, data: new Uint8Array([1]) };
  message.$unknown = [added];
  const [first, second] = message.reports;
  first.$unknown = [added];
  first.revisions.push({ ...first.revisions[0], kind: "quotas" });
  second.state = "paused";
  message.pushed.push({
    ...message.pushed[0],
    delta: message.pushed[0].delta && {
      ...message.pushed[0].delta,
      kind: "quotas",
    },
  });
  const decoded = decodeDatagram(toBinary(PeerDatagramSchema, message));
  const expected = decodeDatagram(bytes);
  // A host in an unknown state gets no requests and is still known.
  const [, { record }] = decoded.reports;
  assert.equal(record.state, "starting");
  const reports = decoded.reports.map((report, i) => ({
    ...report,
    record: { ...report.record, state: expected.reports[i].record.state },
  }));
  assert.deepEqual(toPlain(reports), toPlain(expected.reports));
  assert.deepEqual(
    toPlain(decoded.pushedDeltas),
    toPlain(expected.pushedDeltas),
  );
});
