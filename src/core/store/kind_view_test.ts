import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { openSnapshots } from "../../testing/snapshot.ts";
import { KindView, type ViewChanges } from "./kind_view.ts";
import type { StorePosition } from "./position.ts";
import type { StoredObject } from "./types.ts";

const matchSnapshot = await openSnapshots(import.meta.url);

function object(name: string, revision: number): StoredObject {
  return { name, revision, specification: `${name}@${revision}`, status: null };
}

function at(revision: number, epoch = 1): StorePosition {
  return { epoch, revision };
}

function contents(view: KindView): string[] {
  return [...view.objects()].map((stored) => String(stored.specification))
    .sort();
}

// Guards against a late response of the store that reverts objects.
test("a view only moves to later revisions", () => {
  const view = new KindView();
  view.applyList([object("a", 3), object("b", 4)], at(5), 0);
  view.applyChanges([{ object: object("a", 6), removed: false }], at(6));
  const late = view.applyChanges(
    [{ object: object("a", 5), removed: false }],
    at(5),
  );
  assert.deepEqual(late, { changed: [], removed: [] });
  view.applyList([object("a", 3)], at(4), 0);
  assert.deepEqual(contents(view), ["a@6", "b@4"]);
  assert.deepEqual(view.position, at(6));
});

// Guards against removals that are missed while the kind was not watched.
test("a list removes the objects that it does not contain", () => {
  const view = new KindView();
  view.applyList([object("a", 1), object("b", 2)], at(2), 0);
  const changes = view.applyList([object("a", 1)], at(9), 0);
  assert.deepEqual(changes, { changed: [], removed: ["b"] });
});

// Guards against a peer whose objects differ from those of the source.
test("a delta brings a peer to the objects of the source", () => {
  const step = fc.record({
    name: fc.constantFrom("a", "b", "c", "d"),
    removed: fc.boolean(),
    syncsPeer: fc.boolean(),
    restores: fc.nat(5).map((n) => n === 0),
  });
  fc.assert(
    fc.property(fc.array(step, { maxLength: 40 }), (steps) => {
      const source = new KindView();
      const peer = new KindView();
      source.applyList([object("a", 1)], at(1), 0);
      let revision = 1;
      let epoch = 1;
      for (const { name, removed, syncsPeer, restores } of steps) {
        revision += 1;
        if (restores) {
          // The copy is older, so its revisions are given out again.
          epoch += 1;
          revision = Math.max(1, revision - 3);
          const copy = [object("a", 1), object(name, revision)];
          source.applyList(copy, { epoch, revision }, 0);
        } else {
          const change = { object: object(name, revision), removed };
          source.applyChanges([change], { epoch, revision });
        }
        if (syncsPeer) peer.applyDelta(source.deltaSince(peer.position), 0);
      }
      peer.applyDelta(source.deltaSince(peer.position), 0);
      assert.deepEqual(contents(peer), contents(source));
      assert.deepEqual(peer.position, source.position);
    }),
  );
});

/** An object whose content has a version, unlike its revision. */
function versioned(name: string, revision: number, version: number) {
  return { name, revision, specification: { version }, status: null };
}

const OPERATOR_KIND = {
  contentVersion: ({ specification }: StoredObject) => [
    (specification as { version: number }).version,
  ],
  keepMissingMs: 10_000,
};

function versions(view: KindView): string[] {
  return [...view.objects()].map(({ name, revision, specification }) =>
    `${name} version ${
      (specification as { version: number }).version
    } at ${revision}`
  ).sort();
}

// Guards against changes after a restore of the store that are dropped because
// their revision was given out before, against confirmed changes that the copy
// lacks and that are taken back, and against such a change that stays forever.
test("a view follows a store that was restored from a copy", (t) => {
  const view = new KindView(OPERATOR_KIND);
  const log: Record<string, unknown> = {};
  const record = (name: string, changes: ViewChanges) => {
    log[name] = {
      changed: changes.changed.map((changed) => changed.name),
      removed: changes.removed,
      objects: versions(view),
      position: view.position,
      changedPosition: view.changedPosition,
    };
  };
  view.applyList([versioned("main", 52, 4)], at(52), 0);
  view.applyChanges([
    { object: versioned("main", 54, 9), removed: false },
    { object: versioned("added", 55, 1), removed: false },
    { object: versioned("dropped", 56, 1), removed: false },
  ], at(56));
  record(
    "a watch of the restored store",
    view.applyChanges([
      { object: versioned("main", 57, 11), removed: false },
    ], at(57, 2)),
  );
  record(
    "a list of the restored store",
    view.applyList(
      [versioned("main", 52, 4), versioned("other", 50, 1)],
      at(52, 2),
      1_000,
    ),
  );
  record(
    "a late list from before",
    view.applyList([versioned("main", 54, 9)], at(60), 1_100),
  );
  record(
    "an older version is written again",
    view.applyChanges(
      [{ object: versioned("main", 53, 6), removed: false }],
      at(53, 2),
    ),
  );
  record(
    "new versions with revisions of before",
    view.applyChanges([
      { object: versioned("main", 54, 11), removed: false },
      { object: versioned("added", 55, 1), removed: false },
    ], at(55, 2)),
  );
  record("9 s after the restore", view.dropMissing(10_000));
  record("10 s after the restore", view.dropMissing(11_000));
  matchSnapshot(t, log);
});

// Guards against a host that starts after a restore and gets the older form of
// an object from a peer that knows the newer one.
test("a snapshot includes what the restored store lacks", () => {
  const source = new KindView(OPERATOR_KIND);
  source.applyList(
    [versioned("main", 54, 9), versioned("added", 53, 1)],
    at(54),
    0,
  );
  source.applyList([versioned("main", 52, 4)], at(52, 2), 1_000);
  const peer = new KindView(OPERATOR_KIND);
  peer.applyDelta(source.deltaSince(peer.position), 2_000);
  assert.deepEqual(versions(peer), [
    "added version 1 at 0",
    "main version 9 at 52",
  ]);
  peer.dropMissing(12_000);
  assert.deepEqual(versions(peer), ["main version 9 at 52"]);
});

// Guards against writes of a status that name the revision from before the
// restore, which the store refuses.
test("an object is changed by a restore if only its revision differs", () => {
  const view = new KindView();
  view.applyList([object("desk", 53)], at(60), 0);
  const restored = { ...object("desk", 53), revision: 54 };
  const { changed } = view.applyList([restored], at(54, 2), 0);
  assert.deepEqual(changed.map(({ revision }) => revision), [54]);
  const again = view.applyList([restored], at(54, 3), 0);
  assert.deepEqual(again.changed, []);
});

// Guards against a document of a peer that is dropped because the store has the
// same position at both hosts, and against an older one that is taken over.
test("newer content is taken over from a peer and kept", () => {
  const view = new KindView(OPERATOR_KIND);
  view.applyList([versioned("main", 52, 4)], at(52, 2), 0);
  const older = view.takeNewerContent([versioned("main", 51, 3)]);
  assert.deepEqual(older.changed, []);
  const newer = view.takeNewerContent([versioned("main", 54, 9)]);
  assert.equal(newer.changed.length, 1);
  view.applyChanges(
    [{ object: versioned("main", 53, 6), removed: false }],
    at(53, 2),
  );
  assert.deepEqual(versions(view), ["main version 9 at 53"]);
});

// Guards against hosts that fetch again and again from one whose list holds a
// newer object than its position, as it claims changes that it doesn't hold.
test("the newest change of a list is not beyond its position", () => {
  const view = new KindView();
  const object = { name: "a", revision: 9, specification: {}, status: null };
  view.applyList([object], { epoch: 1, revision: 5 }, 0);
  assert.deepEqual(view.changedPosition, { epoch: 1, revision: 5 });
  const position = { epoch: 1, revision: 10 };
  const change = { object: { ...object, revision: 10 }, removed: false };
  view.applyChanges([change], position);
  assert.deepEqual(view.changedPosition, position);
});

// Guards against a target that was removed and registered again, and that is
// removed by the late answer of a watch which began before both.
test("changes from before the view's position do not undo later ones", () => {
  const view = new KindView();
  view.applyList([object("desk", 53)], at(60), 0);
  const registeredAgain = { object: object("desk", 64), removed: false };
  view.applyChanges([registeredAgain], at(65));
  const removed = { object: object("desk", 62), removed: true };
  assert.deepEqual(view.applyChanges([removed], at(63)).removed, []);
  assert.equal(view.get("desk")?.revision, 64);
});

// Guards against a host that has to list all objects again, as the history after
// its last change is lost, though it holds all changes.
test("a view advances over revisions without changes", () => {
  const view = new KindView();
  view.applyList([object("desk", 53)], at(60), 0);
  for (const position of [at(70), at(65), at(90, 2)]) view.advanceTo(position);
  assert.deepEqual(view.position, at(70));
  assert.deepEqual(view.changedPosition, at(53));
});
