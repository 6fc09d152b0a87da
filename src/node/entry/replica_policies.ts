/**
 * How a host keeps its replicas of the kinds of objects.
 *
 * @module
 */
import type { ObjectKind } from "../../core/store/types.ts";
import type { FollowMode } from "../store/kind_follower.ts";

/**
 * Source of the updates of each kind on a host that is not a watcher.
 * Every host watches the document, which is too large to be forwarded. Hosts
 * are only listed, as a host that joins sends reports of its own.
 */
export const NON_WATCHER_MODES: Readonly<Record<ObjectKind, FollowMode>> = {
  document: "watch",
  targets: "peers",
  releases: "peers",
  evacuations: "peers",
  hosts: "list",
};

/**
 * Longest wait of a watch by a watcher, by kind. A connection that goes silent
 * hides all changes until the watch on it ends, so the wait is part of the time
 * in which changes are applied: 2 s for documents and for targets that leave,
 * 5 s for evacuations.
 */
const WATCHER_WAIT_MS: Readonly<Record<ObjectKind, number>> = {
  document: 1_200,
  targets: 1_200,
  releases: 3_000,
  evacuations: 3_000,
  hosts: 3_000,
};
/**
 * The same on other hosts, where the wait costs a call to the store for each
 * host. They learn of changes that a silent connection hides from the positions
 * that the watchers report.
 */
const NON_WATCHER_WAIT_MS = 12_000;

/** Returns the longest wait of a watch, in milliseconds. */
export function findWatchWaitMs(kind: ObjectKind, isWatcher: boolean): number {
  return isWatcher ? WATCHER_WAIT_MS[kind] : NON_WATCHER_WAIT_MS;
}

/**
 * Time for which objects that a restored store lacks are kept, by kind. Their
 * author, the operator, writes them again soon. Targets register again within
 * REREGISTRATION_WINDOW_MS, and hosts report to each other.
 */
export const KEEP_MISSING_MS: Readonly<Record<ObjectKind, number>> = {
  document: Infinity,
  targets: 0,
  releases: 10_000,
  evacuations: 10_000,
  hosts: 0,
};
