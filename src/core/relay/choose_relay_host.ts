/**
 * Selection of the host that serves a request in place of a host that has lost
 * its path to the targets.
 *
 * @module
 */
import type { HostRecord } from "../membership/types.ts";
import type { Random } from "../types.ts";

/** Inputs of the selection for one request. */
export interface RelayInputs {
  /** Region of this host. */
  readonly region: string;
  /**
   * Home regions of the route and of the organisation. The body of a request may
   * only be sent to hosts in all of them; an empty list allows every region.
   */
  readonly homeRegions: readonly (readonly string[])[];
  /** Hosts that the request was relayed to before. */
  readonly triedHostIds: readonly string[];
  readonly random: Random;
}

/**
 * Returns a host that may serve the request, or `undefined` if there is none.
 * Hosts of the own region are used unless fewer of them reach targets than not,
 * as they would be overloaded.
 *
 * @param peers Live hosts other than this one.
 */
export function chooseRelayHost(
  peers: readonly HostRecord[],
  { region, homeRegions, triedHostIds, random }: RelayInputs,
): HostRecord | undefined {
  const eligible = peers.filter((peer) =>
    peer.state === "ready" && peer.hasTargetPath &&
    !triedHostIds.includes(peer.id) &&
    homeRegions.every((regions) =>
      regions.length === 0 || regions.includes(peer.region)
    )
  );
  const nearby = eligible.filter((peer) => peer.region === region);
  const cutOffCount = 1 +
    peers.filter((peer) => peer.region === region && !peer.hasTargetPath)
      .length;
  const candidates = nearby.length >= cutOffCount ? nearby : eligible;
  return candidates[Math.floor(random() * candidates.length)];
}
