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
import type { HostAddress, HostRecord } from "./types.ts";

/** Caches the candidates, which every request reads. */
export class Senders {
  readonly #selfId: string;
  readonly #membership: Membership;
  #livePeers: readonly HostRecord[] | undefined;
  #readyHosts: SenderCandidates;
  #limitSenders: SenderCandidates;

  constructor(selfId: string, membership: Membership) {
    this.#selfId = selfId;
    this.#membership = membership;
    this.#readyHosts = createSenderCandidates(selfId, []);
    this.#limitSenders = this.#readyHosts;
  }

  /** This host and the live hosts that accept requests. */
  readyHosts(nowMs: number): SenderCandidates {
    this.#update(nowMs);
    return this.#readyHosts;
  }

  /**
   * The same with a quorum. Without one, all known hosts, as those that this
   * host does not hear of may be sending on the other side of a partition.
   */
  limitSenders(nowMs: number): SenderCandidates {
    this.#update(nowMs);
    return this.#limitSenders;
  }

  #update(nowMs: number): void {
    const livePeers = this.#membership.livePeers(nowMs);
    if (livePeers === this.#livePeers) return;
    this.#livePeers = livePeers;
    const readyPeers = livePeers.filter(({ state }) => state === "ready");
    this.#readyHosts = this.#createCandidates(readyPeers);
    const peers = this.#membership.peers();
    const hasQuorum = 2 * (livePeers.length + 1) > peers.length;
    this.#limitSenders = hasQuorum
      ? this.#readyHosts
      : this.#createCandidates(peers);
  }

  #createCandidates(peers: readonly HostAddress[]): SenderCandidates {
    return createSenderCandidates(this.#selfId, peers.map(({ id }) => id));
  }
}
