import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { KindView } from "./kind_view.ts";
import type { StoredObject } from "./types.ts";

function object(name: string, revision: number): StoredObject {
  return { name, revision, specification: `${name}@${revision}`, status: null };
}

function contents(view: KindView): string[] {
  return [...view.objects()].map((stored) => String(stored.specification))
    .sort();
}

// Guards against a late response of the store that reverts objects.
test("a view only moves to later revisions", () => {
  const view = new KindView();
  view.applyList([object("a", 3), object("b", 4)], 5);
  view.applyChanges([{ object: object("a", 6), removed: false }], 6);
  const late = view.applyChanges(
    [{ object: object("a", 5), removed: false }],
    5,
  );
  assert.deepEqual(late, { changed: [], removed: [] });
  view.applyList([object("a", 3)], 4);
  assert.deepEqual(contents(view), ["a@6", "b@4"]);
  assert.equal(view.revision, 6);
});

// Guards against removals that are missed while the kind was not watched.
test("a list removes the objects that it does not contain", () => {
  const view = new KindView();
  view.applyList([object("a", 1), object("b", 2)], 2);
  const changes = view.applyList([object("a", 1)], 9);
  assert.deepEqual(changes, { changed: [], removed: ["b"] });
});

// Guards against a peer whose objects differ from those of the source.
test("a delta brings a peer to the objects of the source", () => {
  const step = fc.record({
    name: fc.constantFrom("a", "b", "c", "d"),
    removed: fc.boolean(),
    syncsPeer: fc.boolean(),
  });
  fc.assert(
    fc.property(fc.array(step, { maxLength: 40 }), (steps) => {
      const source = new KindView();
      const peer = new KindView();
      source.applyList([object("a", 1)], 1);
      let revision = 1;
      for (const { name, removed, syncsPeer } of steps) {
        revision += 1;
        const change = { object: object(name, revision), removed };
        source.applyChanges([change], revision);
        if (syncsPeer) peer.applyDelta(source.deltaSince(peer.revision));
      }
      peer.applyDelta(source.deltaSince(peer.revision));
      assert.deepEqual(contents(peer), contents(source));
      assert.equal(peer.revision, source.revision);
    }),
  );
});
