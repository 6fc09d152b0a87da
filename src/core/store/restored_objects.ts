/**
 * Combines the objects of a restored store with those that a replica holds from
 * before.
 *
 * The copy from which a store is restored lacks recent changes. Their authors
 * write them again soon. Until then, a change that was confirmed stays in force:
 * an object that the store holds in an older form, or no longer, is kept.
 *
 * @module
 */
import {
  compareContentVersions,
  type ContentVersion,
} from "./content_version.ts";
import type { StoredObject } from "./types.ts";

/**
 * Revision of an object that the restored store does not hold, so that each
 * revision of the store is later.
 */
export const UNSTORED_REVISION = 0;

/** How a kind of objects is combined. */
export interface RestoreOptions {
  /** Returns the version of an object's content, if it states one. */
  readonly contentVersion: (object: StoredObject) => ContentVersion | undefined;
  /**
   * Time for which an object that the restored store lacks is kept, in
   * milliseconds.
   */
  readonly keepMissingMs: number;
}

/** Result of `mergeRestored`. */
export interface RestoredObjects {
  readonly objects: Map<string, StoredObject>;
  /** Objects that have another version, content or revision than before. */
  readonly changed: readonly StoredObject[];
  /** Names of the objects that are no longer held. */
  readonly removed: readonly string[];
  /** Names of the objects that are kept although the store lacks their form. */
  readonly kept: ReadonlySet<string>;
}

/**
 * Combines the objects held before with a list of the restored store.
 *
 * @param listed Objects of the store. Those with UNSTORED_REVISION are kept by
 * the host from which the list comes.
 */
export function mergeRestored(
  held: ReadonlyMap<string, StoredObject>,
  listed: readonly StoredObject[],
  options: RestoreOptions,
): RestoredObjects {
  const objects = new Map<string, StoredObject>();
  const changed: StoredObject[] = [];
  const kept = new Set<string>();
  for (const object of listed) {
    const { name, revision } = object;
    const previous = held.get(name);
    const isKept = previous !== undefined &&
      isOlderContent(object, previous, options);
    const merged = isKept ? { ...previous, revision } : object;
    objects.set(name, merged);
    if (isKept || revision === UNSTORED_REVISION) kept.add(name);
    if (previous === undefined || !isSameForm(merged, previous, options)) {
      changed.push(merged);
    }
  }
  const removed: string[] = [];
  for (const [name, object] of held) {
    if (objects.has(name)) continue;
    if (options.keepMissingMs > 0) {
      objects.set(name, { ...object, revision: UNSTORED_REVISION });
      kept.add(name);
    } else removed.push(name);
  }
  return { objects, changed, removed, kept };
}

/** Whether an object is an older form of another one. */
export function isOlderContent(
  object: StoredObject,
  other: StoredObject,
  { contentVersion }: RestoreOptions,
): boolean {
  const version = contentVersion(object);
  const otherVersion = contentVersion(other);
  return version !== undefined && otherVersion !== undefined &&
    compareContentVersions(version, otherVersion) < 0;
}

/**
 * Whether two objects are the same for those who apply them. Without a version,
 * a new revision counts as well, as writes of a status have to name it.
 */
function isSameForm(
  a: StoredObject,
  b: StoredObject,
  { contentVersion }: RestoreOptions,
): boolean {
  const version = contentVersion(a);
  const otherVersion = contentVersion(b);
  return version === undefined || otherVersion === undefined
    ? a.revision === b.revision && hasSameContent(a, b)
    : compareContentVersions(version, otherVersion) === 0;
}

function hasSameContent(a: StoredObject, b: StoredObject): boolean {
  return JSON.stringify([a.specification, a.status]) ===
    JSON.stringify([b.specification, b.status]);
}
