/**
 * Selection of the targets that may receive a request.
 *
 * @module
 */
import type { Organisation, Route } from "../document/document.ts";
import type { VersionRule } from "../release/types.ts";
import { coldStartRatePerS } from "../targets/cold_start_limit.ts";
import type { SenderCandidates } from "../targets/rate_share.ts";
import type { TargetState } from "../targets/target_table.ts";

/** Conditions under which a target may receive a request. */
export interface UsabilityInputs {
  readonly route: Route;
  readonly organisation: Organisation | undefined;
  /** Targets that the request has been sent to before. */
  readonly triedTargetIds: readonly string[];
  readonly versionRule: VersionRule;
  /** Zones whose targets receive no requests. */
  readonly evacuatedZones: ReadonlySet<string>;
  /**
   * Requests a second that a target of the service tolerates in cold start; 0
   * when unknown.
   */
  readonly coldRatePerS: number;
  readonly coldStartSenders: () => SenderCandidates;
}

/** Returns the targets that may receive a request. */
export function findUsableTargets(
  states: readonly TargetState[],
  inputs: UsabilityInputs,
  nowMs: number,
): TargetState[] {
  const { triedTargetIds, versionRule, evacuatedZones, route, organisation } =
    inputs;
  return states.filter((state) => {
    const { id, isDraining, availabilityZone, region, version } = state.target;
    if (isDraining || evacuatedZones.has(availabilityZone)) return false;
    if (!isHomeRegion(region, route.homeRegions)) return false;
    if (organisation && !isHomeRegion(region, organisation.homeRegions)) {
      return false;
    }
    if (
      !isVersionAllowed(version, versionRule) || triedTargetIds.includes(id)
    ) return false;
    if (state.health.isEjected(nowMs)) return false;
    return !state.isInColdStart(nowMs) ||
      hasColdStartToken(state, inputs, nowMs);
  });
}

/** Whether a region is one of the home regions; an empty list allows all. */
function isHomeRegion(
  region: string,
  homeRegions: readonly string[],
): boolean {
  return homeRegions.length === 0 || homeRegions.includes(region);
}

function isVersionAllowed(version: string, rule: VersionRule): boolean {
  return rule.type === "only"
    ? rule.version === version
    : !rule.versions.has(version);
}

function hasColdStartToken(
  state: TargetState,
  { coldRatePerS, coldStartSenders }: UsabilityInputs,
  nowMs: number,
): boolean {
  // Without a configured rate, a target in cold start is only assumed to be
  // slower.
  if (coldRatePerS === 0) return true;
  const ratePerS = coldStartRatePerS(
    state.hash,
    coldRatePerS,
    coldStartSenders(),
  );
  return ratePerS > 0 && state.coldStartLimit.hasToken(ratePerS, nowMs);
}
