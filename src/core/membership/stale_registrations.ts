/**
 * Which registered hosts are gone for good. Machines are replaced without a
 * word, and nothing in the store expires by itself.
 *
 * @module
 */

/** Silence after which a host's registration is removed. */
const FORGET_MS = 600_000;

/** Remembers since when registered hosts are silent. */
export class StaleRegistrations {
  #silentSinceMs = new Map<string, number>();

  /**
   * Returns hosts to forget. Called from time to time.
   *
   * @param hearsMost Whether most hosts are heard; otherwise this host may be
   * the one that is cut off, and silence counts anew.
   */
  tick(
    registeredIds: readonly string[],
    liveIds: ReadonlySet<string>,
    { hearsMost: hasQuorum, nowMs }: { hearsMost: boolean; nowMs: number },
  ): string[] {
    const before = this.#silentSinceMs;
    this.#silentSinceMs = new Map();
    if (!hasQuorum) return [];
    const gone: string[] = [];
    for (const id of registeredIds) {
      if (liveIds.has(id)) continue;
      const sinceMs = before.get(id) ?? nowMs;
      this.#silentSinceMs.set(id, sinceMs);
      if (nowMs - sinceMs >= FORGET_MS) gone.push(id);
    }
    return gone;
  }
}
