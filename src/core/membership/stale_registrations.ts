/**
 * Finds registrations of hosts that no longer exist. Machines may be replaced
 * without deregistering, and objects in the store do not expire by themselves.
 *
 * @module
 */

/** Silence after which a host's registration is removed. */
const REGISTRATION_EXPIRY_MS = 600_000;

/** Tracks since when each registered host has been silent. */
export class StaleRegistrations {
  #silentSinceMs = new Map<string, number>();

  /**
   * Returns the ids of hosts whose registration should be removed. Called
   * periodically.
   *
   * @param options `hasQuorum`: whether more than half of the hosts are live.
   * Without a quorum this host may be the one that is partitioned, so no host
   * is returned and all silences start anew.
   */
  tick(
    registeredIds: readonly string[],
    liveIds: ReadonlySet<string>,
    { hasQuorum, nowMs }: { hasQuorum: boolean; nowMs: number },
  ): string[] {
    const previousSilentSinceMs = this.#silentSinceMs;
    this.#silentSinceMs = new Map();
    if (!hasQuorum) return [];
    const expiredIds: string[] = [];
    for (const id of registeredIds) {
      if (liveIds.has(id)) continue;
      const silentSinceMs = previousSilentSinceMs.get(id) ?? nowMs;
      this.#silentSinceMs.set(id, silentSinceMs);
      if (nowMs - silentSinceMs >= REGISTRATION_EXPIRY_MS) expiredIds.push(id);
    }
    return expiredIds;
  }
}
