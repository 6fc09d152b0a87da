/**
 * What a host holds of one kind of objects, from the store or from a peer.
 * A view only moves to later revisions.
 *
 * @module
 */
import type { KindDelta, StoreChange, StoredObject } from "./types.ts";

/** Removals that are remembered for peers. */
const MAX_REMOVALS = 512;

/** What changed in a view. */
export interface ViewChanges {
  readonly changed: readonly StoredObject[];
  readonly removed: readonly string[];
}

const NO_NEWS: ViewChanges = { changed: [], removed: [] };

/** Objects of one kind. */
export class KindView {
  #objects = new Map<string, StoredObject>();
  #removals: { name: string; revision: number }[] = [];
  /** Revision below which removals are forgotten. */
  #removalsFrom = 0;
  #revision = -1;
  #changedRevision = -1;

  /** Revision up to which all changes are known; -1 before the first list. */
  get revision(): number {
    return this.#revision;
  }

  /** Revision of the newest change that is known. */
  get changedRevision(): number {
    return this.#changedRevision;
  }

  /** All objects. */
  objects(): Iterable<StoredObject> {
    return this.#objects.values();
  }

  /** One object, or `undefined`. */
  get(name: string): StoredObject | undefined {
    return this.#objects.get(name);
  }

  /** Takes over a list of all objects as of a revision. */
  applyList(objects: readonly StoredObject[], revision: number): ViewChanges {
    if (revision < this.#revision) return NO_NEWS;
    const first = this.#revision < 0;
    const listed = new Set(objects.map(({ name }) => name));
    const changed = objects.filter((object) => this.#put(object));
    const removed = [...this.#objects.keys()]
      .filter((name) => !listed.has(name));
    for (const name of removed) this.#remove(name, revision);
    if (first) this.#removalsFrom = revision;
    this.#revision = revision;
    this.#noteChange(changed, removed.length > 0 ? revision : -1);
    return { changed, removed };
  }

  /** Takes over changes that lead to a revision. */
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
    const list = [...changed.values()];
    this.#noteChange(list, removed.size > 0 ? this.#revision : -1);
    return { changed: list, removed: [...removed] };
  }

  /** Takes over what a peer holds beyond this view. */
  applyDelta(delta: KindDelta): ViewChanges {
    if (delta.revision <= this.#revision) return NO_NEWS;
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

  /** What a peer at a revision lacks. */
  deltaSince(revision: number): KindDelta {
    const whole = revision < this.#removalsFrom;
    const objects = [...this.#objects.values()];
    return {
      isSnapshot: whole,
      objects: whole
        ? objects
        : objects.filter((object) => object.revision > revision),
      removed: whole ? [] : this.#removals
        .filter((removal) =>
          removal.revision > revision && !this.#objects.has(removal.name)
        )
        .map(({ name }) => name),
      revision: this.#revision,
    };
  }

  #put(object: StoredObject): boolean {
    const known = this.#objects.get(object.name);
    if (known !== undefined && known.revision >= object.revision) return false;
    this.#objects.set(object.name, object);
    return true;
  }

  #remove(name: string, revision: number): void {
    this.#objects.delete(name);
    this.#removals.push({ name, revision });
    if (this.#removals.length <= MAX_REMOVALS) return;
    this.#removalsFrom = this.#removals.shift()?.revision ?? 0;
  }

  #noteChange(changed: readonly StoredObject[], removalRevision: number): void {
    let newest = Math.max(this.#changedRevision, removalRevision);
    for (const { revision } of changed) newest = Math.max(newest, revision);
    this.#changedRevision = newest;
  }
}
