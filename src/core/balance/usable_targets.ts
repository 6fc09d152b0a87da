/**
 * Which targets may take a request.
 *
 * @module
 */
import type { Organisation, Route } from "../document/document.ts";
import type { VersionRule } from "../release/types.ts";
import { type ColdSenders, ownColdRatePerS } from "../targets/cold_limit.ts";
import type { TargetState } from "../targets/target_table.ts";

/** What decides which targets may take a request. */
export interface UsableInputs {
  readonly route: Route;
  readonly organisation: Organisation | undefined;
  /** Targets that had the request before. */
  readonly tried: readonly string[];
  readonly rule: VersionRule;
  /** Zones whose targets get nothing. */
  readonly evacuatedZones: ReadonlySet<string>;
  /** Requests a second that a cold target of the service tolerates. */
  readonly coldRatePerS: number;
  readonly coldSenders: () => ColdSenders;
}

/** Returns the targets that may take a request. */
export function usableTargets(
  states: readonly TargetState[],
  inputs: UsableInputs,
  nowMs: number,
): TargetState[] {
  const { tried, rule, evacuatedZones, route, organisation } = inputs;
  return states.filter((state) => {
    const { id, draining, availabilityZone, region, version } = state.target;
    if (draining || evacuatedZones.has(availabilityZone)) return false;
    if (!isAtHome(region, route.homeRegions)) return false;
    if (organisation && !isAtHome(region, organisation.homeRegions)) {
      return false;
    }
    if (!isAllowed(version, rule) || tried.includes(id)) return false;
    if (state.health.isDown(nowMs)) return false;
    return !state.isCold(nowMs) || hasColdToken(state, inputs, nowMs);
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
  { coldRatePerS, coldSenders }: UsableInputs,
  nowMs: number,
): boolean {
  // Without a stated rate a cold target is only slower.
  if (coldRatePerS === 0) return true;
  const ratePerS = ownColdRatePerS(state.hash, coldRatePerS, coldSenders());
  return ratePerS > 0 && state.coldLimit.hasToken(ratePerS, nowMs);
}
