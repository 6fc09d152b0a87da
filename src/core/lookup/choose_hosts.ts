/**
 * Selection of the entry hosts in the response to a caller's lookup.
 *
 * @module
 */
import type { Locality } from "../types.ts";

/** A host that accepts requests. */
export interface LookupHost extends Locality {
  readonly callerAddress: string;
}

/** Hosts in the caller's zone that suffice without others of its region. */
const MIN_ZONE_HOSTS = 2;

/**
 * Returns the hosts that a caller should use. All of them are of one tier, the
 * nearest available: the caller's zone if it has enough hosts, else its region,
 * else the preferred regions, else all hosts.
 *
 * @param options `preferredRegions` are used when the caller's region has no
 * host, such as the home regions of its routes. `maxHosts` defaults to 64.
 */
export function chooseHosts<H extends LookupHost>(
  hosts: readonly H[],
  caller: Locality,
  options: { preferredRegions?: readonly string[]; maxHosts?: number } = {},
): readonly H[] {
  const { preferredRegions = [], maxHosts = 64 } = options;
  const inZone = hosts.filter((host) =>
    host.availabilityZone === caller.availabilityZone
  );
  const inRegion = hosts.filter((host) => host.region === caller.region);
  const inPreferredRegions = hosts.filter((host) =>
    preferredRegions.includes(host.region)
  );
  const chosen = inZone.length >= MIN_ZONE_HOSTS
    ? inZone
    : [inRegion, inPreferredRegions, hosts].find((tier) => tier.length > 0) ??
      [];
  return chosen.slice(0, maxHosts);
}
