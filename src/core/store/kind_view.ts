/**
 * Local replica of all objects of one kind, updated from the store or from
 * peers. A view only moves to later positions.
 *
 * @module
 */
import { isLater, NO_POSITION, type StorePosition } from "./position.ts";
import {
  isOlderContent,
  mergeRestored,
  type RestoreOptions,
  UNSTORED_REVISION,
} from "./restored_objects.ts";
import type {
  KindDelta,
  StoreChange,
  StoreChanges,
  StoredObject,
  StoreList,
} from "./types.ts";

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
  readonly #restoreOptions: RestoreOptions;
  #objects = new Map<string, StoredObject>();
  #tombstones: { name: string; revision: number }[] = [];
  /** Revision up to which tombstones may have been discarded. */
  #compactedRevision = 0;
  #position = NO_POSITION;
  #changedPosition = NO_POSITION;
  /** Objects of an earlier epoch whose form the store has not held since. */
  #keptNames = new Set<string>();
  /** Time at which the current epoch was adopted. */
  #restoredMs = -Infinity;

  /**
   * @param options How objects are combined after a restore of the store.
   * Default: those of the store replace all.
   */
  constructor(
    {
      contentVersion = () => undefined,
      keepMissingMs = 0,
    }: Partial<RestoreOptions> = {},
  ) {
    this.#restoreOptions = { contentVersion, keepMissingMs };
  }

  /** Position up to which all changes are applied. */
  get position(): StorePosition {
    return this.#position;
  }

  /** Position of the newest applied change. */
  get changedPosition(): StorePosition {
    return this.#changedPosition;
  }

  /** Whether the view has no list yet. */
  get isEmpty(): boolean {
    return this.#position.revision < 0;
  }

  objects(): Iterable<StoredObject> {
    return this.#objects.values();
  }

  /** Returns an object by its name. */
  get(name: string): StoredObject | undefined {
    return this.#objects.get(name);
  }

  /** Applies a list of all objects as of a position. */
  applyList(
    objects: readonly StoredObject[],
    position: StorePosition,
    nowMs: number,
  ): ViewChanges {
    if (isLater(this.#position, position)) return NO_CHANGES;
    if (this.isEmpty || position.epoch > this.#position.epoch) {
      return this.#adopt(objects, position, nowMs);
    }
    const listedNames = new Set(objects.map(({ name }) => name));
    const changed = objects.filter((object) => this.#put(object));
    const removed = [...this.#objects.values()]
      .filter(({ name, revision }) =>
        !listedNames.has(name) && revision !== UNSTORED_REVISION
      ).map(({ name }) => name);
    const { revision } = position;
    for (const name of removed) this.#remove(name, revision);
    this.#position = position;
    this.#advanceChangedRevision(changed, removed.length > 0 ? revision : -1);
    return { changed, removed };
  }

  /**
   * Applies all changes up to a position. Those of another epoch are ignored: a
   * later one has to be listed first.
   */
  applyChanges(
    changes: readonly StoreChange[],
    position: StorePosition,
  ): ViewChanges {
    if (position.epoch !== this.#position.epoch) return NO_CHANGES;
    // All of these changes are known, and later ones of the same objects too.
    if (isLater(this.#position, position)) return NO_CHANGES;
    const changed = new Map<string, StoredObject>();
    const removed = new Set<string>();
    const { revision: previousRevision } = this.#position;
    for (const { object, removed: isRemoved } of changes) {
      const { name } = object;
      if (isRemoved) {
        if (!this.#objects.has(name)) continue;
        this.#remove(name, Math.max(object.revision, previousRevision + 1));
        removed.add(name);
        changed.delete(name);
      } else if (this.#put(object)) {
        changed.set(name, object);
        removed.delete(name);
      }
    }
    if (isLater(position, this.#position)) this.#position = position;
    const changedObjects = [...changed.values()];
    this.#advanceChangedRevision(
      changedObjects,
      removed.size > 0 ? this.#position.revision : -1,
    );
    return { changed: changedObjects, removed: [...removed] };
  }

  /**
   * Records that there are no changes between the view's position and a later
   * one. The history of the store may be lost before the next change.
   */
  advanceTo(position: StorePosition): void {
    const { epoch } = this.#position;
    if (position.epoch === epoch && isLater(position, this.#position)) {
      this.#position = position;
    }
  }

  /** Applies changes that a peer holds beyond this view. */
  applyDelta(delta: KindDelta, nowMs: number): ViewChanges {
    const { position, objects, isSnapshot } = delta;
    if (!isLater(position, this.#position)) return NO_CHANGES;
    if (isSnapshot) return this.applyList(objects, position, nowMs);
    const { revision } = position;
    const removals = delta.removed.map((name) => ({
      removed: true,
      object: { name, revision, specification: null, status: null },
    }));
    const puts = objects.map((object) => ({ removed: false, object }));
    return this.applyChanges([...removals, ...puts], position);
  }

  /**
   * Takes over objects of a peer that are newer than those held, because the
   * store has lost them. They are kept until the store holds them again.
   */
  takeNewerContent(objects: readonly StoredObject[]): ViewChanges {
    const changed: StoredObject[] = [];
    for (const object of objects) {
      const current = this.#objects.get(object.name);
      if (current === undefined) continue;
      if (!isOlderContent(current, object, this.#restoreOptions)) continue;
      const taken = { ...object, revision: current.revision };
      this.#objects.set(object.name, taken);
      this.#keptNames.add(object.name);
      changed.push(taken);
    }
    return { changed, removed: [] };
  }

  /**
   * Removes the objects that a restored store lacked and that were not written
   * again in time. Called several times per second.
   */
  dropMissing(nowMs: number): ViewChanges {
    if (this.#keptNames.size === 0) return NO_CHANGES;
    if (nowMs - this.#restoredMs < this.#restoreOptions.keepMissingMs) {
      return NO_CHANGES;
    }
    const removed = [...this.#keptNames].filter((name) =>
      this.#objects.get(name)?.revision === UNSTORED_REVISION
    );
    for (const name of removed) this.#remove(name, this.#position.revision);
    return { changed: [], removed };
  }

  /**
   * Returns the changes since a position; a snapshot if the position is of
   * another epoch or tombstones after it have been discarded.
   */
  deltaSince({ epoch, revision }: StorePosition): KindDelta {
    const isSnapshot = epoch !== this.#position.epoch ||
      revision < this.#compactedRevision;
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
      position: this.#position,
    };
  }

  /** Replaces the view by the first list or by that of a restored store. */
  #adopt(
    listed: readonly StoredObject[],
    position: StorePosition,
    nowMs: number,
  ): ViewChanges {
    const { objects, changed, removed, kept } = mergeRestored(
      this.#objects,
      listed,
      this.#restoreOptions,
    );
    this.#objects = objects;
    this.#keptNames = new Set(kept);
    this.#restoredMs = nowMs;
    this.#tombstones = [];
    this.#compactedRevision = position.revision;
    this.#position = position;
    this.#changedPosition = { epoch: position.epoch, revision: -1 };
    this.#advanceChangedRevision(
      listed,
      removed.length > 0 ? position.revision : -1,
    );
    return { changed, removed };
  }

  #put(object: StoredObject): boolean {
    const { name, revision } = object;
    // Each host decides by itself how long it keeps what the store lacks.
    if (revision === UNSTORED_REVISION) return false;
    const current = this.#objects.get(name);
    if (current !== undefined && current.revision >= revision) return false;
    if (current !== undefined && this.#keptNames.has(name)) {
      if (isOlderContent(object, current, this.#restoreOptions)) {
        this.#objects.set(name, { ...current, revision });
        return false;
      }
      this.#keptNames.delete(name);
    }
    this.#objects.set(name, object);
    return true;
  }

  #remove(name: string, revision: number): void {
    this.#objects.delete(name);
    this.#keptNames.delete(name);
    this.#tombstones.push({ name, revision });
    if (this.#tombstones.length <= MAX_TOMBSTONES) return;
    this.#compactedRevision = this.#tombstones.shift()?.revision ?? 0;
  }

  #advanceChangedRevision(
    changed: readonly StoredObject[],
    removalRevision: number,
  ): void {
    const { epoch, revision } = this.#changedPosition;
    let newest = Math.max(revision, removalRevision);
    for (const object of changed) newest = Math.max(newest, object.revision);
    // A stale list of several pages holds objects that are newer than its
    // position, but not all changes up to them.
    this.#changedPosition = {
      epoch,
      revision: Math.min(newest, this.#position.revision),
    };
  }
}

/**
 * Brings a list up to date.
 *
 * @param list Objects that may be newer than the list's position.
 * @param later All changes since that position.
 */
export function applyToList(
  { objects, position }: StoreList,
  later: StoreChanges,
): StoreList {
  const view = new KindView();
  // Without objects from before a restore, the time has no effect.
  view.applyList(objects, position, 0);
  view.applyChanges(later.changes, later.position);
  return { objects: [...view.objects()], position: later.position };
}
