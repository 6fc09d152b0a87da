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
  /** Candidates for the senders to targets in cold start. */
  readonly coldStartCandidates: () => SenderCandidates;
  /** Candidates for the senders to targets that state a limit. */
  readonly limitCandidates: () => SenderCandidates;
}

/** Returns the targets that may receive a request. */
export function findUsableTargets(
  states: readonly TargetState[],
  inputs: UsabilityInputs,
  nowMs: number,
): TargetState[] {
  return states.filter((state) =>
    isUsableBelowLimit(state, inputs, nowMs) &&
    statedDelayMs(state, inputs, nowMs) === 0
  );
}

/**
 * Returns the time until one of the targets may receive the request that state
 * a limit, or that they want no requests for a time, in milliseconds; Infinity
 * if only other hosts may send to them, and `undefined` if there is no such
 * target.
 */
export function findStatedDelayMs(
  states: readonly TargetState[],
  inputs: UsabilityInputs,
  nowMs: number,
): number | undefined {
  const delaysMs = states.filter((state) =>
    isUsableBelowLimit(state, inputs, nowMs)
  ).map((state) => statedDelayMs(state, inputs, nowMs))
    .filter((delayMs) => delayMs > 0);
  return delaysMs.length > 0 ? Math.min(...delaysMs) : undefined;
}

/**
 * Whether a target may receive a request unless it is at its stated limit or
 * wants no requests for a time.
 */
function isUsableBelowLimit(
  state: TargetState,
  inputs: UsabilityInputs,
  nowMs: number,
): boolean {
  const { triedTargetIds, versionRule, evacuatedZones, route, organisation } =
    inputs;
  const { id, isDraining, availabilityZone, region, version } = state.target;
  if (isDraining || state.availability.isLeaving) return false;
  if (evacuatedZones.has(availabilityZone)) return false;
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
}

function statedDelayMs(
  { hash, statedLimit, availability }: TargetState,
  { limitCandidates }: UsabilityInputs,
  nowMs: number,
): number {
  const availabilityDelayMs = availability.delayMs(nowMs);
  return statedLimit.limitPerS === undefined ? availabilityDelayMs : Math.max(
    availabilityDelayMs,
    statedLimit.delayMs(hash, limitCandidates(), nowMs),
  );
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
  { coldRatePerS, coldStartCandidates }: UsabilityInputs,
  nowMs: number,
): boolean {
  // Without a configured rate, a target in cold start is only assumed to be
  // slower.
  if (coldRatePerS === 0) return true;
  const ratePerS = coldStartRatePerS(
    state.hash,
    coldRatePerS,
    coldStartCandidates(),
  );
  return ratePerS > 0 && state.coldStartLimit.hasToken(ratePerS, nowMs);
}
