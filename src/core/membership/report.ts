/**
 * Report that each host process sends to the other hosts periodically.
 *
 * @module
 */
import type { CrashReport } from "../crashes/crash_memory.ts";
import type { Demand } from "../limits/demand_reports.ts";
import type {
  ReleaseProgress,
  StoppedVersion,
  VersionCount,
} from "../release/types.ts";
import type { StorePosition } from "../store/position.ts";
import type { StoreReport } from "../store/store_availability.ts";
import type { ObjectKind } from "../store/types.ts";
import type { TargetInstance } from "../targets/leaving_targets.ts";
import type { TargetLimit } from "../targets/limit_reports.ts";
import type { TargetObservation } from "../targets/target_observation.ts";
import type { UsageReport } from "../usage/types.ts";
import type { HostRecord } from "./types.ts";

/** Report of a host. A later one of the same process replaces it. */
export interface HostReport {
  readonly record: HostRecord;
  /** Position of the newest change that the host holds, by kind. */
  readonly positions: ReadonlyMap<ObjectKind, StorePosition>;
  /** Version of the document that the host applies; 0 before the first one. */
  readonly documentVersion: number;
  /** Demand by organisation id. */
  readonly demands: ReadonlyMap<string, Demand>;
  readonly counts: readonly VersionCount[];
  readonly stopped: readonly StoppedVersion[];
  readonly releases: readonly ReleaseProgress[];
  /** Limits that targets stated in responses to the host. */
  readonly limits: readonly TargetLimit[];
  /** What targets stated of their load to the host since its last report. */
  readonly observations: readonly TargetObservation[];
  /** Instances of targets that have stated that they are leaving. */
  readonly leavingTargets: readonly TargetInstance[];
  /** Availability of the store as the host sees it. */
  readonly store: StoreReport;
  /** Crashes and blocked fingerprints that the host learned of recently. */
  readonly crashReports: readonly CrashReport[];
  /** Some of those that it learned of earlier. */
  readonly rememberedCrashes: readonly CrashReport[];
  /** Counts of the process; absent if usage is not reported. */
  readonly usage?: UsageReport;
}
