import assert from "node:assert/strict";
import { test } from "node:test";
import { MAX_LINEAR_GROWTH, measureGrowth } from "../../testing/growth.ts";
import { sampleRegistration } from "../../testing/samples.ts";
import { TargetTable } from "./target_table.ts";
import type { AttemptEnd } from "./types.ts";

// Guards against a limit that ends because of a failure, or of the response of
// another target at the address, and against limits of such responses.
test("only a target's own responses state a limit or its end", () => {
  const targets = new TargetTable();
  targets.put(sampleRegistration(), 0);
  const [state] = targets.ofService("stockdesk");
  const limitAfter = (end: AttemptEnd) => {
    targets.endAttempt(targets.beginAttempt(state, undefined, 0), end, 0);
    return state.statedLimit.limitPerS;
  };
  const status = 0;
  assert.equal(
    limitAfter({ outcome: "misdirected", status, limitPerS: 9 }),
    undefined,
  );
  assert.equal(limitAfter({ outcome: "shed", status, limitPerS: 4 }), 4);
  assert.equal(limitAfter({ outcome: "failed", status }), 4);
  assert.equal(limitAfter({ outcome: "shed", status }), 4);
  assert.equal(limitAfter({ outcome: "broken", status }), 4);
  assert.equal(limitAfter({ outcome: "misdirected", status }), 4);
  assert.equal(limitAfter({ outcome: "failed", status, limitPerS: 3 }), 3);
  assert.equal(limitAfter({ outcome: "answered", status: 200 }), undefined);
});

// Guards against targets that stay ejected for seconds after this host has
// regained its path, though nothing was wrong with them.
test("failed connections can be forgotten", () => {
  const targets = new TargetTable();
  targets.put(sampleRegistration(), 0);
  const [state] = targets.ofService("stockdesk");
  for (let nowMs = 0; nowMs < 500; nowMs += 100) {
    targets.endAttempt(
      targets.beginAttempt(state, undefined, nowMs),
      { outcome: "unreachable", status: 0 },
      nowMs,
    );
  }
  assert.equal(state.health.isEjected(500), true);
  targets.forgetFailedConnections();
  assert.equal(state.health.isEjected(500), false);
  assert.equal(state.health.failureFraction(500), 0);
});

// Guards against a list of the store that keeps a host busy for a time that grows
// with the square of the number of a service's targets.
test("the time to add and remove targets grows with their number", () => {
  const growth = measureGrowth((count) => {
    const registrations = Array.from(
      { length: count },
      (_, i) => sampleRegistration({ id: `target-${i}` }),
    );
    return () => {
      const targets = new TargetTable();
      for (const registration of registrations) targets.put(registration, 0);
      for (const { id } of registrations) targets.remove(id);
      assert.equal(targets.ofService("stockdesk").length, 0);
    };
  }, 2_500);
  assert.ok(growth < MAX_LINEAR_GROWTH, `${growth}`);
});
