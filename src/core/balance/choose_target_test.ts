import assert from "node:assert/strict";
import { test } from "node:test";
import { hash32 } from "../hash32.ts";
import { sampleTarget } from "../../testing/samples.ts";
import { TargetTable } from "../targets/target_table.ts";
import {
  chooseTarget,
  type DistanceCosts,
  type SelectionInputs,
} from "./choose_target.ts";

const NO_DISTANCE: DistanceCosts = {
  regionRoundTripMs: 0,
  zoneRoundTripMs: 0,
  regionMsPerKib: 0,
  zoneMsPerKib: 0,
};

function wish(
  key: string,
  options: Partial<SelectionInputs> = {},
): SelectionInputs {
  return {
    keyHash: hash32(key),
    serviceTime: { warmMs: 100, coldMs: 330 },
    objectiveMs: 400,
    bytes: 1_000,
    localityWeight: 1,
    hostPlace: { availabilityZone: "north-a", region: "north" },
    ...options,
  };
}

function tableOf(count: number, region = (_i: number) => "north"): TargetTable {
  const table = new TargetTable();
  for (let i = 0; i < count; i++) {
    table.put(
      sampleTarget({
        id: `target-${i}`,
        address: `192.0.2.${i + 1}:80`,
        region: region(i),
        availabilityZone: `${region(i)}-a`,
      }),
      0,
    );
  }
  return table;
}

function idOf(table: TargetTable, key: string, options = {}): string {
  const usable = table.ofService("stockdesk");
  const chosen = chooseTarget(usable, wish(key, options), NO_DISTANCE, 1_000);
  return chosen?.state.target.id ?? "none";
}

const KEYS = Array.from({ length: 400 }, (_, i) => `object-${i}`);

// Guards against hosts that send one object to different targets, which would
// have to hold it twice.
test("hosts with their own observations choose alike when idle", () => {
  const a = tableOf(18);
  const b = tableOf(18);
  for (const key of KEYS) assert.equal(idOf(a, key), idOf(b, key));
});

// Guards against objects that move though their target stays.
test("only objects of a target that goes or comes move", () => {
  const before = tableOf(18);
  const after = tableOf(18);
  after.remove("target-3");
  for (const key of KEYS) {
    const was = idOf(before, key);
    if (was !== "target-3") assert.equal(idOf(after, key), was);
  }
});

// Guards against targets that hold far more objects than others.
test("objects are spread evenly", () => {
  const table = tableOf(10);
  const counts = new Map<string, number>();
  for (const key of KEYS) {
    const id = idOf(table, key);
    counts.set(id, (counts.get(id) ?? 0) + 1);
  }
  for (const count of counts.values()) assert.ok(count > 15 && count < 75);
});

// Guards against a queue at the holder while the wait there is longer than
// the work on a target without the object.
test("a long wait at the holder leads elsewhere, a short one does not", () => {
  const table = tableOf(6);
  const holder = table.get(idOf(table, "object-1"));
  assert.ok(holder);
  const { id } = holder.target;
  for (let i = 0; i < 6; i++) table.beginAttempt(holder, undefined, 1_000);
  assert.equal(idOf(table, "object-1"), id);
  for (let i = 0; i < 14; i++) table.beginAttempt(holder, undefined, 1_000);
  assert.notEqual(idOf(table, "object-1"), id);
});

// Guards against work for a target that is slow or fails, while others do not.
test("slow and failing targets lose their objects until they recover", () => {
  for (const harm of ["slow", "failing"]) {
    const table = tableOf(6);
    const holder = table.get(idOf(table, "object-1"));
    assert.ok(holder);
    for (let i = 0; i < 12; i++) {
      if (harm === "slow") holder.recordServiceTimeRatio(8, 1_000);
      else holder.health.recordOutcome("broken", 1_000);
    }
    const usable = table.ofService("stockdesk");
    const at = (nowMs: number) =>
      chooseTarget(usable, wish("object-1"), NO_DISTANCE, nowMs)?.state;
    assert.notEqual(at(1_000), holder, harm);
    assert.equal(at(60_000), holder, harm);
  }
});

// Guards against dear bytes that cross regions although a near target could
// hold the object.
test("a near weight keeps objects near, and all hosts of a region alike", () => {
  const table = tableOf(12, (i) => i < 3 ? "north" : "south");
  const nearFraction = (localityWeight: number) =>
    KEYS.filter((key) => {
      const id = idOf(table, key, { localityWeight });
      return table.get(id)?.target.region === "north";
    }).length / KEYS.length;
  assert.ok(nearFraction(1) < 0.35);
  assert.ok(nearFraction(20) > 0.75);
});

// Guards against a distant holder that is used for a body whose bytes cost
// more than the work on a near target without the object.
test("bytes and distance count as time", () => {
  const table = tableOf(12, (i) => i < 3 ? "north" : "south");
  const usable = table.ofService("stockdesk");
  const costs = { ...NO_DISTANCE, regionRoundTripMs: 40, regionMsPerKib: 3 };
  const regionFor = (bytes: number) => {
    const regions = KEYS.map((key) =>
      chooseTarget(usable, wish(key, { bytes }), costs, 0)?.state.target.region
    );
    return regions.filter((region) => region === "south").length;
  };
  assert.ok(regionFor(500) > 200);
  assert.equal(regionFor(200_000), 0);
});

// Guards against a choice where there is none.
test("without a usable target nothing is chosen", () => {
  assert.equal(chooseTarget([], wish("a"), NO_DISTANCE, 0), undefined);
});
