import assert from "node:assert/strict";
import { test } from "node:test";
import { sampleRegistration } from "../../testing/samples.ts";
import { openSnapshots } from "../../testing/snapshot.ts";
import { StatedAvailability } from "./stated_availability.ts";
import { TargetTable } from "./target_table.ts";

const matchSnapshot = await openSnapshots(import.meta.url);

const REFUSES_4_S = { isLeaving: false, refusesForMs: 4_000 };
const LEAVING = { isLeaving: true, refusesForMs: 0 };

// Guards against requests to a target within the time for which it wants none,
// and against all waiting requests that reach it at once afterwards.
test("a target that refused gets one attempt at a time at first", (t) => {
  const target = new StatedAvailability();
  const log: string[] = [];
  const look = (nowMs: number) =>
    log.push(`${nowMs} ms: next attempt in ${target.delayMs(nowMs)} ms`);
  look(0);
  target.recordStatement(REFUSES_4_S, 0, 0);
  look(0);
  // An attempt that was sent before the refusal ends.
  target.recordEnd("answered", 1_000);
  look(1_000);
  look(3_999);
  look(4_000);
  target.recordStart(4_000);
  look(4_001);
  target.recordEnd("broken", 4_300);
  look(4_300);
  target.recordStart(4_300);
  // The attempt does not end.
  look(6_300);
  target.recordStart(6_300);
  target.recordEnd("answered", 6_400);
  target.recordStart(6_400);
  look(6_400);
  matchSnapshot(t, log);
});

// Guards against a target that is lost for a day, or used again too early, by
// one response with an absurd, shorter or repeated time.
test("times of refusals are bounded and the latest end counts", (t) => {
  const delayAfter = (times: readonly number[], spread: number) => {
    const target = new StatedAvailability();
    for (const refusesForMs of times) {
      target.recordStatement({ isLeaving: false, refusesForMs }, spread, 0);
    }
    return target.delayMs(0);
  };
  matchSnapshot(t, {
    "4 s": delayAfter([4_000], 0),
    "4 s, latest host": delayAfter([4_000], 1),
    "a day": delayAfter([86_400_000], 0),
    "without end": delayAfter([Infinity], 1),
    "longer, then shorter": delayAfter([4_000, 100], 0),
    "zero": delayAfter([0], 1),
    "negative": delayAfter([-5], 1),
  });
});

// Guards against a target that left and is used again because the store lists
// it, its registration is renewed, or a report about its last start arrives.
test("a leaving instance stays out, and a new one does not", (t) => {
  const registration = sampleRegistration();
  const instance = { targetId: registration.id, startedMs: 1_000 };
  const table = new TargetTable();
  const log: string[] = [];
  const look = (what: string) => {
    const state = table.get(registration.id);
    log.push(`${what}: ${state?.availability.isLeaving ?? "not listed"}`);
  };
  assert.equal(table.recordLeaving(instance, 0), true);
  table.put(registration, 0);
  look("reported before it was listed");
  table.put({ ...registration, coldForMs: 5 }, 10);
  look("renewed");
  table.remove(registration.id);
  table.put(registration, 20);
  look("listed again");
  table.put({ ...registration, startedMs: 2_000 }, 30);
  look("new start");
  assert.equal(table.recordLeaving(instance, 40), false);
  look("late report about the last start");
  const state = table.get(registration.id);
  assert.ok(state);
  table.recordStatement(state, LEAVING, 50);
  look("stated by the new start");
  matchSnapshot(t, log);
});

// Guards against reports about leaving targets that grow without end, or that a
// restarted host never receives.
test("leaving targets are reported for a time, and to new processes", () => {
  const table = new TargetTable();
  table.put(sampleRegistration(), 0);
  const instance = { targetId: "target-1", startedMs: 1_000 };
  table.recordLeaving(instance, 0);
  assert.deepEqual(table.createLeavingReport(2_900), [instance]);
  assert.deepEqual(table.createLeavingReport(3_000), []);
  table.repeatLeavingReports(60_000);
  assert.deepEqual(table.createLeavingReport(62_000), [instance]);
  table.put(sampleRegistration({ isDraining: true }), 62_000);
  assert.deepEqual(table.createLeavingReport(62_000), []);
});
