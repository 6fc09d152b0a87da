/**
 * Summary of the reports of an availability zone. The delegate of the zone
 * sends it to the other zones, so that messages between zones do not grow with
 * the number of hosts.
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
import { mergeLimits, type TargetLimit } from "../targets/limit_reports.ts";
import type { TargetObservation } from "../targets/target_observation.ts";
import type { UsageReport } from "../usage/types.ts";
import type { HostReport } from "./report.ts";
import type { HostRecord } from "./types.ts";

/** A live host in the summary of its zone. */
export interface ZoneHost {
  readonly record: HostRecord;
  /**
   * Absent for hosts that neither watch the store nor have confirmed a view by
   * calls of their own.
   */
  readonly store: StoreReport | undefined;
}

/** The combined report of a zone. */
export interface ZoneSummary {
  readonly availabilityZone: string;
  /** Id of the host that created the summary. */
  readonly authorId: string;
  readonly hosts: readonly ZoneHost[];
  /** Position of the newest change that the author holds, by kind. */
  readonly positions: ReadonlyMap<ObjectKind, StorePosition>;
  /** Version of the document that the author applies; 0 before the first. */
  readonly documentVersion: number;
  /** Demand by organisation id, summed over all hosts, silent ones included. */
  readonly demands: ReadonlyMap<string, Demand>;
  /** Responses by version and route, summed over all processes of the zone. */
  readonly counts: readonly VersionCount[];
  readonly stopped: readonly StoppedVersion[];
  readonly releases: readonly ReleaseProgress[];
  /** Limits that targets stated in responses to the hosts. */
  readonly limits: readonly TargetLimit[];
  /** The newest statement of each target on its load to the hosts. */
  readonly observations: readonly TargetObservation[];
  /** Instances of targets that have stated that they are leaving. */
  readonly leavingTargets: readonly TargetInstance[];
  readonly crashReports: readonly CrashReport[];
  readonly rememberedCrashes: readonly CrashReport[];
  /** Counts of the zone's processes; absent if usage is not reported. */
  readonly usage?: UsageReport;
}

/** What a zone's summary has beside the reports of its hosts. */
export interface ZoneSums {
  /** Demand at all hosts of the zone, silent ones included. */
  readonly demands: ReadonlyMap<string, Demand>;
  /**
   * Responses summed over all processes of the zone, including those that have
   * ended.
   */
  readonly counts: readonly VersionCount[];
  /** The newest observation of each target from the hosts of the zone. */
  readonly observations?: readonly TargetObservation[];
}

/**
 * Combines the reports of a zone's hosts.
 *
 * @param ownReport Report of the author.
 * @param peerReports Reports of the other live hosts of the zone.
 */
export function summarizeZone(
  ownReport: HostReport,
  peerReports: readonly HostReport[],
  { demands, counts, observations = [] }: ZoneSums,
): ZoneSummary {
  const reports = [ownReport, ...peerReports];
  return {
    availabilityZone: ownReport.record.availabilityZone,
    authorId: ownReport.record.id,
    hosts: reports.map(({ record, store }) => ({
      record,
      store: store.watches || store.confirmations.length > 0
        ? store
        : undefined,
    })),
    positions: ownReport.positions,
    documentVersion: ownReport.documentVersion,
    demands,
    counts,
    // The author has already merged the stopped versions of its peers.
    stopped: ownReport.stopped,
    releases: ownReport.releases,
    limits: mergeLimits(reports.flatMap(({ limits }) => limits)),
    observations,
    // The author has already merged the instances that its peers report.
    leavingTargets: ownReport.leavingTargets,
    // The author has already merged the crashes that its peers report.
    crashReports: ownReport.crashReports,
    rememberedCrashes: ownReport.rememberedCrashes,
  };
}
