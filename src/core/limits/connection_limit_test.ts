import assert from "node:assert/strict";
import { test } from "node:test";
import { ConnectionLimit } from "./connection_limit.ts";

// Guards against callers that take the descriptors which the host needs for its
// targets and the store.
test("connections beyond the limit are refused, then closed", () => {
  const decisions = [256, 3_800].map((maxDescriptors) => {
    const limit = new ConnectionLimit(maxDescriptors);
    return [192, 193, 217, 218, 3_325, 3_326, 3_516].map((connections) =>
      limit.decide(connections)
    ).join(" ");
  });
  assert.deepEqual(decisions, [
    "accept refuse refuse close close close close",
    "accept accept accept accept accept refuse close",
  ]);
});

// Guards against a log line for each refused connection.
test("refused connections are reported once a minute", () => {
  const limit = new ConnectionLimit(256);
  const reports = [0, 1, 59_999, 60_000, 60_001].map((nowMs) =>
    limit.takeReport(nowMs)
  );
  assert.deepEqual(reports, [true, false, false, true, false]);
});
