/**
 * Passes the results of attempts and connection checks to crash attribution and
 * turns its verdicts into effects.
 *
 * @module
 */
import type {
  CrashAttribution,
  CrashVerdict,
} from "../crashes/crash_attribution.ts";
import type { AttemptOutcome, Target } from "../targets/types.ts";
import type { RequestEffect } from "./types.ts";

/** State and time that the attribution uses. */
export interface CrashContext {
  readonly crashAttribution: CrashAttribution;
  /** Whether this host may have lost its path to the targets. */
  readonly isTargetPathInDoubt: boolean;
  readonly nowMs: number;
}

/**
 * Records the end of an attempt.
 *
 * @param fingerprint Fingerprint of the request.
 */
export function recordAttemptOutcome(
  fingerprint: string,
  { target, outcome }: { target: Target; outcome: AttemptOutcome },
  context: CrashContext,
): RequestEffect[] {
  const { id, version } = target;
  const { crashAttribution, nowMs } = context;
  switch (outcome) {
    case "broken": {
      const request = { fingerprint, version };
      const verdict = crashAttribution.recordBrokenAttempt(id, request, nowMs);
      return [...createEffects(id, verdict), { type: "check_target", target }];
    }
    case "unreachable":
      return recordRefusedConnection(id, context);
    case "answered":
      crashAttribution.recordResponse(fingerprint, version);
      return [];
    default:
      return [];
  }
}

/**
 * Completes the crash of a target that refuses connections, unless this host may
 * have lost its path: then several targets seem to have crashed at once.
 */
export function recordRefusedConnection(
  targetId: string,
  { crashAttribution, isTargetPathInDoubt, nowMs }: CrashContext,
): RequestEffect[] {
  if (isTargetPathInDoubt) return [];
  const verdict = crashAttribution.recordRefusedConnection(targetId, nowMs);
  return createEffects(targetId, verdict);
}

function createEffects(
  targetId: string,
  { blocked, suspected }: CrashVerdict,
): RequestEffect[] {
  return [
    ...blocked.map((fingerprint) => ({ type: "block" as const, fingerprint })),
    ...suspected.map((fingerprint) => ({
      type: "suspect" as const,
      fingerprint,
      targetId,
    })),
  ];
}
