/**
 * Which targets may take a request.
 *
 * @module
 */
import type { Organisation, Route } from "../document/document.ts";
import type { VersionRule } from "../release/types.ts";
import {
  coldStartRatePerS,
  type ColdStartSenders,
} from "../targets/cold_start_limit.ts";
import type { TargetState } from "../targets/target_table.ts";

/** What decides which targets may take a request. */
export interface UsabilityInputs {
  readonly route: Route;
  readonly organisation: Organisation | undefined;
  /** Targets that had the request before. */
  readonly triedTargetIds: readonly string[];
  readonly versionRule: VersionRule;
  /** Zones whose targets get nothing. */
  readonly evacuatedZones: ReadonlySet<string>;
  /** Requests a second that a cold target of the service tolerates. */
  readonly coldRatePerS: number;
  readonly coldStartSenders: () => ColdStartSenders;
}

/** Returns the targets that may take a request. */
export function findUsableTargets(
  states: readonly TargetState[],
  inputs: UsabilityInputs,
  nowMs: number,
): TargetState[] {
  const {
    triedTargetIds: tried,
    versionRule: rule,
    evacuatedZones,
    route,
    organisation,
  } = inputs;
  return states.filter((state) => {
    const { id, isDraining: draining, availabilityZone, region, version } =
      state.target;
    if (draining || evacuatedZones.has(availabilityZone)) return false;
    if (!isAtHome(region, route.homeRegions)) return false;
    if (organisation && !isAtHome(region, organisation.homeRegions)) {
      return false;
    }
    if (!isAllowed(version, rule) || tried.includes(id)) return false;
    if (state.health.isEjected(nowMs)) return false;
    return !state.isInColdStart(nowMs) || hasColdToken(state, inputs, nowMs);
  });
}

function isAtHome(region: string, homeRegions: readonly string[]): boolean {
  return homeRegions.length === 0 || homeRegions.includes(region);
}

function isAllowed(version: string, rule: VersionRule): boolean {
  return rule.type === "only"
    ? rule.version === version
    : !rule.versions.has(version);
}

function hasColdToken(
  state: TargetState,
  { coldRatePerS, coldStartSenders: coldSenders }: UsabilityInputs,
  nowMs: number,
): boolean {
  // Without a stated rate a cold target is only slower.
  if (coldRatePerS === 0) return true;
  const ratePerS = coldStartRatePerS(state.hash, coldRatePerS, coldSenders());
  return ratePerS > 0 && state.coldStartLimit.hasToken(ratePerS, nowMs);
}
