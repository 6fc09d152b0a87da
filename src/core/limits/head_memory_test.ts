import assert from "node:assert/strict";
import { test } from "node:test";
import { chooseHeadsToRefuse } from "./head_memory.ts";

// Guards against refused callers while there is room, and against small heads
// that are refused for the sake of large ones.
test("the largest heads are refused until the others fit", () => {
  const heads = [2, 30, 1, 20].map((bytes) => ({ bytes }));
  const chosen = [60, 53, 52, 3, 0].map((maxBytes) =>
    chooseHeadsToRefuse(heads, maxBytes).map(({ bytes }) => bytes)
  );
  assert.deepEqual(chosen, [[], [], [30], [30, 20], [30, 20, 2, 1]]);
});
