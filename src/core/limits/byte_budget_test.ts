import assert from "node:assert/strict";
import { test } from "node:test";
import { ByteBudget } from "./byte_budget.ts";

// Guards against memory beyond the limit, and against a refused holder that
// keeps part of it from the others.
test("no bytes are taken beyond the limit", () => {
  const budget = new ByteBudget(10);
  assert.deepEqual([budget.take(6), budget.take(5), budget.take(4)], [
    true,
    false,
    true,
  ]);
  budget.release(6);
  assert.deepEqual([budget.heldBytes, budget.take(6)], [4, true]);
});
