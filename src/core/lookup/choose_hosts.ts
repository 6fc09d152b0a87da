/**
 * Which hosts a caller is told to use.
 *
 * @module
 */
import type { Locality } from "../types.ts";

/** A host that takes requests. */
export interface LookupHost extends Locality {
  readonly callerAddress: string;
}

/** Hosts of the caller's own zone that suffice without its region's others. */
const MIN_NEAR_HOSTS = 2;

/**
 * Returns the hosts for a caller, those of one tier of nearness: its zone if
 * it has enough hosts, else its region, else the preferred regions, else all.
 *
 * @param options `preferredRegions` are used when the caller's region has no
 * host, such as the home regions of its routes.
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
  const preferred = hosts.filter((host) =>
    preferredRegions.includes(host.region)
  );
  const chosen = inZone.length >= MIN_NEAR_HOSTS
    ? inZone
    : [inRegion, preferred, hosts].find((tier) => tier.length > 0) ?? [];
  return chosen.slice(0, maxHosts);
}
