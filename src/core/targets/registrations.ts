/**
 * Registered targets. A registration that ends while the store is away, or
 * just after, may have lapsed although its target lives: the target could not
 * renew it. It is kept until the target has had time to register again.
 *
 * @module
 */
import type { Target } from "./types.ts";

/** Time after the store's return in which live targets register again. */
const REGISTER_AGAIN_MS = 2_200;

/** State of the store that decides whether a removal is believed. */
export interface StoreAvailability {
  readonly isFailing: boolean;
  /** When it last answered again after failures. */
  readonly returnedMs: number;
}

/** Removals that wait to be believed. */
export class LapsedRegistrations {
  #lapsed = new Set<string>();

  /** Notes that a target is registered. */
  recordRegistration(id: string): void {
    this.#lapsed.delete(id);
  }

  /**
   * Notes that a registration has ended.
   *
   * @returns Whether the target is gone; otherwise `takeGone` tells later.
   */
  recordRemoval(id: string, store: StoreAvailability, nowMs: number): boolean {
    if (isSettled(store, nowMs)) return true;
    this.#lapsed.add(id);
    return false;
  }

  /** Returns targets that have not registered again in time. */
  drainExpired(store: StoreAvailability, nowMs: number): string[] {
    if (this.#lapsed.size === 0 || !isSettled(store, nowMs)) return [];
    const gone = [...this.#lapsed];
    this.#lapsed.clear();
    return gone;
  }
}

function isSettled(store: StoreAvailability, nowMs: number): boolean {
  return !store.isFailing && nowMs - store.returnedMs >= REGISTER_AGAIN_MS;
}

/** Versions of a service's targets with the earliest start of each. */
export function earliestStartsByVersion(
  targets: Iterable<Target>,
): Map<string, Map<string, number>> {
  const byService = new Map<string, Map<string, number>>();
  for (const { service, version, startedMs } of targets) {
    let versions = byService.get(service);
    if (versions === undefined) {
      versions = new Map();
      byService.set(service, versions);
    }
    versions.set(
      version,
      Math.min(versions.get(version) ?? Infinity, startedMs),
    );
  }
  return byService;
}
