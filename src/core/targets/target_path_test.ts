import assert from "node:assert/strict";
import { test } from "node:test";
import { sampleRegistration } from "../../testing/samples.ts";
import { openSnapshots } from "../../testing/snapshot.ts";
import { TargetPath } from "./target_path.ts";
import { TargetTable } from "./target_table.ts";

const matchSnapshot = await openSnapshots(import.meta.url);

/** Creates a path to two targets in each of three zones. */
function createPath(zones = ["a", "b", "c"]): TargetPath {
  const table = new TargetTable();
  for (const availabilityZone of zones) {
    for (const n of [1, 2]) {
      const id = `${availabilityZone}${n}`;
      table.put(
        sampleRegistration({ id, address: `${id}:80`, availabilityZone }),
        0,
      );
    }
  }
  return new TargetPath(() => table.all());
}

function isLostAfter(
  failures: readonly (readonly [string, number])[],
  zones?: string[],
): boolean {
  const path = createPath(zones);
  for (const [id, nowMs] of failures) path.recordFailure(`${id}:80`, nowMs);
  return path.isLost;
}

// Guards against a host that takes the crash of some targets for the loss of
// its own path, and against one that does not notice that it reaches none.
test("the path is lost when connections to several zones fail in a row", (t) => {
  matchSnapshot(t, {
    "one target, repeatedly": isLostAfter(
      [0, 1, 2, 3, 4].map((n) => ["a1", n * 100]),
    ),
    "one zone": isLostAfter([["a1", 0], ["a2", 0]]),
    "three targets": isLostAfter([["a1", 0], ["b1", 0], ["c1", 0]]),
    "four targets": isLostAfter([["a1", 0], ["a2", 0], ["b1", 0], ["b2", 0]]),
    "four targets over 6 s": isLostAfter([
      ["a1", 0],
      ["a2", 2_000],
      ["b1", 4_000],
      ["b2", 6_000],
    ]),
    "all targets of a small fleet": isLostAfter([["a1", 0], ["a2", 0]], ["a"]),
  });
});

// Guards against a host that relays requests although it reaches targets again.
test("an established connection shows that the path is there", () => {
  const path = createPath();
  for (const id of ["a1", "b1", "c1"]) path.recordFailure(`${id}:80`, 0);
  path.recordConnected();
  path.recordFailure("a2:80", 10);
  assert.equal(path.isLost, false);
  for (const id of ["a1", "b1", "c1"]) path.recordFailure(`${id}:80`, 10);
  assert.equal(path.isLost, true);
  path.recordConnected();
  assert.equal(path.isLost, false);
  assert.deepEqual(path.takeProbes(1_000), []);
});

// Guards against a host with few requests that learns too late that its path is
// lost or regained, and against probes of the same targets again and again.
test("probes go to other zones and to other targets in turn", (t) => {
  const path = createPath();
  const ids = (nowMs: number) => path.takeProbes(nowMs).map(({ id }) => id);
  const before = ids(0);
  path.recordFailure("a1:80", 10);
  matchSnapshot(t, {
    "without a failure": before,
    "after a failure in zone a": ids(20),
    "at once again": ids(100),
    "next round": ids(300),
    "third round": ids(600),
  });
  const silent = createPath();
  silent.recordSilence();
  assert.equal(silent.takeProbes(0).length, 3);
});
