/**
 * Cache of the hosts among which the senders to a target with a limited rate are
 * chosen.
 *
 * @module
 */
import {
  createSenderCandidates,
  type SenderCandidates,
} from "../targets/rate_share.ts";
import type { Membership } from "./membership.ts";
import type { HostAddress, HostRecord } from "./types.ts";

/** Candidates for the senders, which every request reads. */
export class CandidateCache {
  readonly #selfId: string;
  readonly #membership: Membership;
  #livePeers: readonly HostRecord[] | undefined;
  #readyCandidates: SenderCandidates;
  #limitCandidates: SenderCandidates;

  constructor(selfId: string, membership: Membership) {
    this.#selfId = selfId;
    this.#membership = membership;
    this.#readyCandidates = createSenderCandidates(selfId, []);
    this.#limitCandidates = this.#readyCandidates;
  }

  /** This host and the live hosts that accept requests. */
  forColdStarts(nowMs: number): SenderCandidates {
    this.#update(nowMs);
    return this.#readyCandidates;
  }

  /**
   * The same with a quorum. Without one, all known hosts, as those that this
   * host does not hear of may be sending on the other side of a partition.
   */
  forLimits(nowMs: number): SenderCandidates {
    this.#update(nowMs);
    return this.#limitCandidates;
  }

  #update(nowMs: number): void {
    const livePeers = this.#membership.livePeers(nowMs);
    if (livePeers === this.#livePeers) return;
    this.#livePeers = livePeers;
    const readyPeers = livePeers.filter(({ state }) => state === "ready");
    this.#readyCandidates = this.#createCandidates(readyPeers);
    const peers = this.#membership.peers();
    const hasQuorum = 2 * (livePeers.length + 1) > peers.length;
    this.#limitCandidates = hasQuorum
      ? this.#readyCandidates
      : this.#createCandidates(peers);
  }

  #createCandidates(peers: readonly HostAddress[]): SenderCandidates {
    return createSenderCandidates(this.#selfId, peers.map(({ id }) => id));
  }
}
