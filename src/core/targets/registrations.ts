/**
 * Lapsed registrations of targets, and the versions of registered targets.
 *
 * While the store is unavailable, targets cannot renew their registrations. A
 * registration that ends during an outage, or shortly after, may therefore
 * have lapsed although its target is alive. Such a target is kept until it has
 * had time to register again.
 *
 * @module
 */
import type { Target } from "./types.ts";

/** Time after the store's recovery in which targets register again. */
const REREGISTRATION_WINDOW_MS = 2_200;

/** State of the store that decides whether a removal is final. */
export interface StoreRecoveryState {
  /** Whether the store is unavailable. */
  readonly isFailing: boolean;
  /** Time of the store's last recovery; -Infinity if it never failed. */
  readonly recoveredMs: number;
}

/** Targets that may register again after their registration has lapsed. */
export class LapsedRegistrations {
  #targetIds = new Set<string>();

  /** Records that a target is registered. */
  recordRegistration(id: string): void {
    this.#targetIds.delete(id);
  }

  /**
   * Records that the registration of a target was removed.
   *
   * @returns Whether the removal is final. Otherwise `drainExpired` returns the
   * target later, unless it registers again.
   */
  recordRemoval(
    id: string,
    store: StoreRecoveryState,
    nowMs: number,
  ): boolean {
    if (isRemovalFinal(store, nowMs)) return true;
    this.#targetIds.add(id);
    return false;
  }

  /** Removes and returns the targets that did not register again in time. */
  drainExpired(store: StoreRecoveryState, nowMs: number): string[] {
    if (this.#targetIds.size === 0 || !isRemovalFinal(store, nowMs)) return [];
    const expiredIds = [...this.#targetIds];
    this.#targetIds.clear();
    return expiredIds;
  }
}

function isRemovalFinal(store: StoreRecoveryState, nowMs: number): boolean {
  return !store.isFailing &&
    nowMs - store.recoveredMs >= REREGISTRATION_WINDOW_MS;
}

/**
 * Returns the earliest start of a target by service and version, as Unix time
 * in milliseconds.
 */
export function earliestStartsByVersion(
  targets: Iterable<Target>,
): Map<string, Map<string, number>> {
  const byService = new Map<string, Map<string, number>>();
  for (const { service, version, startedMs } of targets) {
    let startedMsByVersion = byService.get(service);
    if (startedMsByVersion === undefined) {
      startedMsByVersion = new Map();
      byService.set(service, startedMsByVersion);
    }
    startedMsByVersion.set(
      version,
      Math.min(startedMsByVersion.get(version) ?? Infinity, startedMs),
    );
  }
  return byService;
}
