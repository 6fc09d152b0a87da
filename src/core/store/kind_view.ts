/**
 * Local replica of all objects of one kind, updated from the store or from
 * peers. A view only moves to later revisions.
 *
 * @module
 */
import type { KindDelta, StoreChange, StoredObject } from "./types.ts";

/** Tombstones that are kept for deltas to peers. */
const MAX_TOMBSTONES = 512;

/** Objects that an update of a view changed or removed. */
export interface ViewChanges {
  readonly changed: readonly StoredObject[];
  /** Names of the removed objects. */
  readonly removed: readonly string[];
}

const NO_CHANGES: ViewChanges = { changed: [], removed: [] };

/** Replica of the objects of one kind. */
export class KindView {
  #objects = new Map<string, StoredObject>();
  #tombstones: { name: string; revision: number }[] = [];
  /** Revision up to which tombstones may have been discarded. */
  #compactedRevision = 0;
  #revision = -1;
  #changedRevision = -1;

  /** Revision up to which all changes are applied; -1 before the first list. */
  get revision(): number {
    return this.#revision;
  }

  /** Revision of the newest applied change; -1 before the first one. */
  get changedRevision(): number {
    return this.#changedRevision;
  }

  objects(): Iterable<StoredObject> {
    return this.#objects.values();
  }

  /** Returns an object by its name. */
  get(name: string): StoredObject | undefined {
    return this.#objects.get(name);
  }

  /** Applies a list of all objects as of a revision. */
  applyList(objects: readonly StoredObject[], revision: number): ViewChanges {
    if (revision < this.#revision) return NO_CHANGES;
    const isFirstList = this.#revision < 0;
    const listedNames = new Set(objects.map(({ name }) => name));
    const changed = objects.filter((object) => this.#put(object));
    const removed = [...this.#objects.keys()]
      .filter((name) => !listedNames.has(name));
    for (const name of removed) this.#remove(name, revision);
    if (isFirstList) this.#compactedRevision = revision;
    this.#revision = revision;
    this.#advanceChangedRevision(changed, removed.length > 0 ? revision : -1);
    return { changed, removed };
  }

  /** Applies all changes up to a revision. */
  applyChanges(changes: readonly StoreChange[], revision: number): ViewChanges {
    const changed = new Map<string, StoredObject>();
    const removed = new Set<string>();
    for (const { object, removed: isRemoved } of changes) {
      const { name } = object;
      if (isRemoved) {
        if (!this.#objects.has(name)) continue;
        this.#remove(name, Math.max(object.revision, this.#revision + 1));
        removed.add(name);
        changed.delete(name);
      } else if (this.#put(object)) {
        changed.set(name, object);
        removed.delete(name);
      }
    }
    this.#revision = Math.max(this.#revision, revision);
    const changedObjects = [...changed.values()];
    this.#advanceChangedRevision(
      changedObjects,
      removed.size > 0 ? this.#revision : -1,
    );
    return { changed: changedObjects, removed: [...removed] };
  }

  /** Applies changes that a peer holds beyond this view. */
  applyDelta(delta: KindDelta): ViewChanges {
    if (delta.revision <= this.#revision) return NO_CHANGES;
    if (delta.isSnapshot) return this.applyList(delta.objects, delta.revision);
    const removals = delta.removed.map((name) => ({
      removed: true,
      object: {
        name,
        revision: delta.revision,
        specification: null,
        status: null,
      },
    }));
    const puts = delta.objects.map((object) => ({ removed: false, object }));
    return this.applyChanges([...removals, ...puts], delta.revision);
  }

  /**
   * Returns the changes since a revision; a snapshot when tombstones after it
   * have been discarded.
   */
  deltaSince(revision: number): KindDelta {
    const isSnapshot = revision < this.#compactedRevision;
    const objects = [...this.#objects.values()];
    return {
      isSnapshot,
      objects: isSnapshot
        ? objects
        : objects.filter((object) => object.revision > revision),
      removed: isSnapshot ? [] : this.#tombstones
        .filter((tombstone) =>
          tombstone.revision > revision && !this.#objects.has(tombstone.name)
        )
        .map(({ name }) => name),
      revision: this.#revision,
    };
  }

  #put(object: StoredObject): boolean {
    const current = this.#objects.get(object.name);
    if (current !== undefined && current.revision >= object.revision) {
      return false;
    }
    this.#objects.set(object.name, object);
    return true;
  }

  #remove(name: string, revision: number): void {
    this.#objects.delete(name);
    this.#tombstones.push({ name, revision });
    if (this.#tombstones.length <= MAX_TOMBSTONES) return;
    this.#compactedRevision = this.#tombstones.shift()?.revision ?? 0;
  }

  #advanceChangedRevision(
    changed: readonly StoredObject[],
    removalRevision: number,
  ): void {
    let newest = Math.max(this.#changedRevision, removalRevision);
    for (const { revision } of changed) newest = Math.max(newest, revision);
    this.#changedRevision = newest;
  }
}
