/**
 * Reports between hosts of the limits that targets state.
 *
 * @module
 */
import type { LimitStatement } from "./stated_limit.ts";
import type { TargetState, TargetTable } from "./target_table.ts";

/** A limit that a target stated to a host. */
export interface TargetLimit extends LimitStatement {
  readonly targetId: string;
  /** Start of the target's instance; a later one has stated nothing yet. */
  readonly startedMs: number;
}

/**
 * Returns the limits that targets stated to this host.
 *
 * @param options See `StatedLimit.createReport`.
 */
export function createLimitReport(
  targets: TargetTable,
  nowMs: number,
  options: { includesReported?: boolean } = {},
): TargetLimit[] {
  const limits: TargetLimit[] = [];
  for (const { target: { id, startedMs }, statedLimit } of targets.all()) {
    const statement = statedLimit.createReport(nowMs, options);
    if (statement === undefined) continue;
    limits.push({ targetId: id, startedMs, ...statement });
  }
  return limits;
}

/**
 * Records limits that another host reports. Returns the targets whose limit has
 * changed.
 */
export function recordLimitReport(
  targets: TargetTable,
  limits: readonly TargetLimit[],
  nowMs: number,
): TargetState[] {
  return limits.flatMap((limit) => {
    const state = targets.get(limit.targetId);
    if (state === undefined || state.target.startedMs !== limit.startedMs) {
      return [];
    }
    const { statedLimit } = state;
    const previousPerS = statedLimit.limitPerS;
    statedLimit.recordReport(limit, nowMs);
    return statedLimit.limitPerS === previousPerS ? [] : [state];
  });
}

/** Returns the newest report on each instance of a target. */
export function mergeLimits(limits: readonly TargetLimit[]): TargetLimit[] {
  const newest = new Map<string, TargetLimit>();
  for (const limit of limits) {
    const key = `${limit.targetId} ${limit.startedMs}`;
    const other = newest.get(key);
    if (other === undefined || limit.ageMs < other.ageMs) {
      newest.set(key, limit);
    }
  }
  return [...newest.values()];
}
