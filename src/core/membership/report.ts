/**
 * What one run of a host tells all other hosts.
 *
 * @module
 */
import type { Demand } from "../limits/quotas.ts";
import type {
  ReleaseProgress,
  StoppedVersion,
  VersionCount,
} from "../release/types.ts";
import type { StoreReport } from "../store/store_availability.ts";
import type { ObjectKind } from "../store/types.ts";
import type { HostRecord } from "./types.ts";

/** A request that was in flight when a target died. */
export interface CrashBlameRecord {
  readonly fingerprint: string;
  /** Target that died; "" when the fingerprint is blocked. */
  readonly targetId: string;
}

/** A host's report. It replaces the earlier reports of the same run. */
export interface HostReport {
  readonly record: HostRecord;
  /** Newest change that the host holds of each kind. */
  readonly revisions: ReadonlyMap<ObjectKind, number>;
  /** Requests by organisation. */
  readonly demands: ReadonlyMap<string, Demand>;
  readonly counts: readonly VersionCount[];
  readonly stopped: readonly StoppedVersion[];
  readonly releases: readonly ReleaseProgress[];
  /** The store as the host sees it. */
  readonly store: StoreReport;
  /** What was learned recently. */
  readonly blames: readonly CrashBlameRecord[];
}
