/**
 * Freshness of the views of the store's objects: the time as of which a host
 * knows that a view holds all changes that the store has acknowledged.
 *
 * A call that the store answers proves it as of the time at which the call was
 * made. Hosts that watch the store make such calls regularly and report the age
 * of the last one, so the others need not call the store. A host whose own
 * knowledge becomes too old calls the store by itself, whatever others report
 * of their connection to it, so the time in which it applies a change does not
 * depend on them.
 *
 * @module
 */
import { isLater, type StorePosition } from "./position.ts";
import type { ObjectKind } from "./types.ts";

/** Longest transmission of a report that is assumed, as it is not measured. */
const MAX_TRANSMISSION_MS = 100;
/**
 * Time after a pause of this process in which reports may be old, as they waited
 * in the socket meanwhile.
 */
const BUFFERED_REPORTS_MS = 500;

/** Statement of a host that its view of a kind was complete. */
export interface ViewConfirmation {
  readonly kind: ObjectKind;
  /** Position of the newest change in the view. */
  readonly changedPosition: StorePosition;
  /** Position up to which there are no further changes. */
  readonly position: StorePosition;
  /** Time since the call to the store that showed it. */
  readonly ageMs: number;
}

/** Ages from which a view is confirmed by a call to the store. */
export interface FreshnessLimits {
  /** On a host that watches the store: age of its own last call. */
  readonly watcherMs: number;
  /** On the other hosts: age of what they know from any host. */
  readonly nonWatcherMs: number;
}

/** Tracks the times as of which the views of this host were complete. */
export class ViewFreshness {
  /** Starts of the last answered calls of this host. */
  readonly #ownMs = new Map<ObjectKind, number>();
  /** The same, also from reports of other hosts. */
  readonly #confirmedMs = new Map<ObjectKind, number>();
  /** Reports that were received before this time are ignored. */
  #ignoredBeforeMs = -Infinity;

  /**
   * Records an answered call of this host.
   *
   * @param completeMs Time as of which the response holds all changes: the start
   * of the call, or the end of its wait if the store had nothing to tell in it.
   */
  recordOwn(kind: ObjectKind, completeMs: number): void {
    raise(this.#ownMs, kind, completeMs);
    raise(this.#confirmedMs, kind, completeMs);
  }

  /**
   * Records the statement of another host.
   *
   * @param ownPosition Position of this host's view of the kind.
   * @returns Whether it holds for this host's view as well.
   */
  recordPeer(
    { kind, changedPosition, ageMs }: ViewConfirmation,
    ownPosition: StorePosition,
    receivedMs: number,
  ): boolean {
    if (receivedMs < this.#ignoredBeforeMs) return false;
    if (isLater(changedPosition, ownPosition)) return false;
    raise(this.#confirmedMs, kind, receivedMs - ageMs - MAX_TRANSMISSION_MS);
    return true;
  }

  /**
   * Records that this process was paused. The clock may have stood still with
   * it, so nothing that was known before tells its age.
   */
  recordPause(nowMs: number): void {
    this.#ownMs.clear();
    this.#confirmedMs.clear();
    this.#ignoredBeforeMs = nowMs + BUFFERED_REPORTS_MS;
  }

  /** Age of the knowledge that a view is complete; Infinity without any. */
  ageMs(kind: ObjectKind, nowMs: number): number {
    return nowMs - (this.#confirmedMs.get(kind) ?? -Infinity);
  }

  /** Age of the last answered call of this host; Infinity without any. */
  ownAgeMs(kind: ObjectKind, nowMs: number): number {
    return nowMs - (this.#ownMs.get(kind) ?? -Infinity);
  }

  /** Whether this host has to confirm a view by a call to the store. */
  isDue(
    kind: ObjectKind,
    { watcherMs, nonWatcherMs }: FreshnessLimits,
    { isWatcher, nowMs }: { isWatcher: boolean; nowMs: number },
  ): boolean {
    return isWatcher
      ? this.ownAgeMs(kind, nowMs) >= watcherMs
      : this.ageMs(kind, nowMs) >= nonWatcherMs;
  }
}

function raise(
  times: Map<ObjectKind, number>,
  kind: ObjectKind,
  timeMs: number,
): void {
  if (timeMs > (times.get(kind) ?? -Infinity)) times.set(kind, timeMs);
}
