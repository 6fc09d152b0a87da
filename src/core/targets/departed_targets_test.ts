import assert from "node:assert/strict";
import { test } from "node:test";
import { DepartedTargets } from "./departed_targets.ts";

const BORN_MS = 1_700_000_000_000;

function createWithDeparture(): DepartedTargets {
  const departed = new DepartedTargets();
  departed.recordDeparture("target-1", [BORN_MS, 20], 1);
  return departed;
}

// Guards against requests to a target that has left and that a restored store
// lists again, and against a target that is ignored although it is back.
test("a registration from before the departure is ignored after a restore", () => {
  const isBelieved = (version: number[], epoch: number) =>
    createWithDeparture().isBelieved("target-1", version, { epoch, nowMs: 0 });
  assert.equal(isBelieved([BORN_MS, 12], 2), false);
  assert.equal(isBelieved([BORN_MS, 20], 2), false);
  assert.equal(isBelieved([BORN_MS, 21], 2), true);
  assert.equal(isBelieved([BORN_MS + 1, 1], 2), true);
  // In the same epoch, the target has registered again.
  assert.equal(isBelieved([BORN_MS, 20], 1), true);
  assert.equal(
    createWithDeparture().isBelieved("target-2", [BORN_MS, 1], {
      epoch: 2,
      nowMs: 0,
    }),
    true,
  );
});

// Guards against a living target that is never used again because its
// registration does not change after the restore.
test("a registration that lasts is believed", () => {
  const departed = createWithDeparture();
  const restored = { epoch: 2, nowMs: 1_000 };
  departed.isBelieved("target-1", [BORN_MS, 12], restored);
  assert.deepEqual(departed.drainBelieved(6_900), []);
  assert.deepEqual(departed.drainBelieved(7_000), ["target-1"]);
  assert.deepEqual(departed.drainBelieved(8_000), []);
  const silent = createWithDeparture();
  silent.isBelieved("target-1", [BORN_MS, 12], restored);
  silent.recordEnd("target-1");
  assert.deepEqual(silent.drainBelieved(20_000), []);
});
