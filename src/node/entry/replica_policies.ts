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
