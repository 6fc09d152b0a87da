import assert from "node:assert/strict";
import { test } from "node:test";
import { binomialTail } from "./binomial.ts";

// Guards against evidence that is far off, which would reverse good versions
// or keep bad ones.
test("tails against values worked out by hand", () => {
  const cases: [number, number, number, number][] = [
    [0, 10, 0.5, 1],
    [10, 10, 0.5, 1 / 1_024],
    [1, 2, 0.5, 0.75],
    [3, 4, 0.1, 4 * 0.001 * 0.9 + 0.0001],
    [5, 4, 0.5, 0],
    [1, 100, 0, 0],
    [2, 3, 1, 1],
  ];
  for (const [successes, trials, chance, expected] of cases) {
    const value = binomialTail(successes, trials, chance);
    assert.ok(
      Math.abs(value - expected) < 1e-9,
      `${successes} of ${trials} at ${chance}: ${value}`,
    );
  }
  assert.ok(Math.abs(binomialTail(500, 1_000, 0.5) - 0.5126) < 1e-3);
});
