import assert from "node:assert/strict";
import { test } from "node:test";
import { sampleTarget } from "../../testing/samples.ts";
import { TargetState } from "../targets/target_table.ts";
import { checkAdmission } from "./admission.ts";

const state = new TargetState(sampleTarget(), 0);

function lateness(
  { waitMs = 0, workMs = 150, remainingMs = 2_000, objectiveMs = 400 },
  options: { yields?: boolean } = {},
) {
  return checkAdmission({
    candidate: {
      state,
      queueWaitMs: waitMs,
      expectedResponseMs: waitMs + workMs,
      roundTripMs: 0,
      isWarm: true,
      holderRank: 0,
      costMs: 0,
    },
    remainingMs,
    remainingObjectiveMs: objectiveMs,
    objectiveMs,
    isLowPriority: options.yields ?? false,
  });
}

// Guards against queues that make all requests late, and against refusals of
// work that would be in time.
test("a request is refused when its wait makes it late", () => {
  assert.equal(lateness({ waitMs: 200 }), undefined);
  const late = lateness({ waitMs: 500 });
  assert.ok(late !== undefined && late.retryAfterMs >= 250);
  assert.equal(lateness({ waitMs: 250 }), undefined);
  assert.ok(lateness({ waitMs: 250 }, { yields: true }));
});

// Guards against work that can't end before the caller leaves.
test("a request without enough time left is refused", () => {
  assert.ok(lateness({ workMs: 150, remainingMs: 60 }));
});

// Guards against refusals with free targets that rest on a guess: a route
// without an objective was refused because 400 ms were assumed and 400 left.
test("a route without an objective is not refused for its assumed time", () => {
  const guess = { workMs: 401, remainingMs: 400, objectiveMs: Infinity };
  assert.equal(lateness(guess), undefined);
});
