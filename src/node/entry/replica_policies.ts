/**
 * How a host keeps its replicas of the kinds of objects.
 *
 * @module
 */
import type { ObjectKind } from "../../core/store/types.ts";
import type { FreshnessLimits } from "../../core/store/view_freshness.ts";
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

/** Times in which changes of the store have to be applied. */
export interface PropagationBounds {
  /** Bound of targets that drain or are gone. */
  readonly targetDrainMs: number;
  /** Bound of evacuations. */
  readonly evacuationMs: number;
}

/**
 * Longest wait of a watch of the document by a watcher. A connection that goes
 * silent hides all changes until the watch on it ends, and a document has to be
 * applied within 2 s.
 */
const DOCUMENT_WAIT_MS = 1_200;
/**
 * Longest wait of the other watches by a watcher, as a fraction of the bound of
 * evacuations.
 */
const WATCHER_WAIT_FRACTION = 0.6;
/**
 * Longest wait on other hosts, where it costs a call to the store for each host.
 * They learn of changes that a silent connection hides from the positions that
 * the watchers report.
 */
const NON_WATCHER_WAIT_MS = 12_000;

/** Returns the longest wait of a watch, in milliseconds. */
export function findWatchWaitMs(
  kind: ObjectKind,
  { isWatcher, evacuationMs }:
    & { isWatcher: boolean }
    & Pick<PropagationBounds, "evacuationMs">,
): number {
  if (!isWatcher) return NON_WATCHER_WAIT_MS;
  return kind === "document"
    ? DOCUMENT_WAIT_MS
    : WATCHER_WAIT_FRACTION * evacuationMs;
}

/**
 * Ages of a view from which it is confirmed by a call, as fractions of the bound
 * in which its changes are applied. On a host that does not watch, the rest of
 * the bound covers a call on a dead connection and its repetition, about 0.6 s.
 * The limit of watchers is lower by what a report to the others takes, so that
 * these make no calls as long as one watcher reaches the store. Evacuations are
 * confirmed by the watches themselves.
 */
const TARGET_FRACTIONS = { watcher: 0.25, nonWatcher: 0.55 };
const EVACUATION_FRACTIONS = { watcher: 0.65, nonWatcher: 0.75 };

/** Kinds whose changes reach hosts that don't watch them through others. */
export const CONFIRMED_KINDS: readonly ObjectKind[] = [
  "targets",
  "releases",
  "evacuations",
];

/** Returns the ages from which a view of one of CONFIRMED_KINDS is confirmed. */
export function findFreshnessLimits(
  kind: ObjectKind,
  { targetDrainMs, evacuationMs }: PropagationBounds,
): FreshnessLimits {
  const boundMs = kind === "targets" ? targetDrainMs : evacuationMs;
  const { watcher, nonWatcher } = kind === "targets"
    ? TARGET_FRACTIONS
    : EVACUATION_FRACTIONS;
  return { watcherMs: watcher * boundMs, nonWatcherMs: nonWatcher * boundMs };
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
