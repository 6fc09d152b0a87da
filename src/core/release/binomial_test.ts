import assert from "node:assert/strict";
import { test } from "node:test";
import { binomialTail } from "./binomial.ts";

// Guards against wrong probabilities, which would roll back good versions or
// keep bad ones.
test("tails equal values that were calculated by hand", () => {
  const cases: [number, number, number, number][] = [
    [0, 10, 0.5, 1],
    [10, 10, 0.5, 1 / 1_024],
    [1, 2, 0.5, 0.75],
    [3, 4, 0.1, 4 * 0.001 * 0.9 + 0.0001],
    [5, 4, 0.5, 0],
    [1, 100, 0, 0],
    [2, 3, 1, 1],
  ];
  for (const [successes, trials, probability, expected] of cases) {
    const tail = binomialTail(successes, trials, probability);
    assert.ok(
      Math.abs(tail - expected) < 1e-9,
      `${successes} of ${trials} at ${probability}: ${tail}`,
    );
  }
  assert.ok(Math.abs(binomialTail(500, 1_000, 0.5) - 0.5126) < 1e-3);
});
