/**
 * Hosts among which the senders to a target with a rate limit are chosen.
 *
 * @module
 */
import {
  createSenderCandidates,
  type SenderCandidates,
} from "../targets/rate_share.ts";
import type { Membership } from "./membership.ts";
import type { HostRecord } from "./types.ts";

/** Caches the candidates, which every request reads. */
export class Senders {
  readonly #selfId: string;
  readonly #membership: Membership;
  #livePeers: readonly HostRecord[] | undefined;
  #readyHosts: SenderCandidates;

  constructor(selfId: string, membership: Membership) {
    this.#selfId = selfId;
    this.#membership = membership;
    this.#readyHosts = createSenderCandidates(selfId, []);
  }

  /** This host and the live hosts that accept requests. */
  readyHosts(nowMs: number): SenderCandidates {
    const livePeers = this.#membership.livePeers(nowMs);
    if (livePeers !== this.#livePeers) {
      this.#livePeers = livePeers;
      const readyPeers = livePeers.filter(({ state }) => state === "ready");
      this.#readyHosts = createSenderCandidates(
        this.#selfId,
        readyPeers.map(({ id }) => id),
      );
    }
    return this.#readyHosts;
  }
}
