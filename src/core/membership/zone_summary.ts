/**
 * What the hosts of an availability zone tell the other zones, put together
 * by one of them, so that messages between zones do not grow with the hosts.
 *
 * @module
 */
import type { Demand } from "../limits/quotas.ts";
import type {
  ReleaseProgress,
  StoppedVersion,
  VersionCount,
} from "../release/types.ts";
import type { StoreReport } from "../store/store_outlook.ts";
import type { Kind } from "../store/types.ts";
import type { CrashBlameNote, HostReport } from "./report.ts";
import type { HostRecord } from "./types.ts";

/** A live host of a zone. */
export interface ZoneHost {
  readonly record: HostRecord;
  /** Absent for hosts that do not watch the store. */
  readonly store: StoreReport | undefined;
}

/** All that other zones have to know of a zone. */
export interface ZoneSummary {
  readonly availabilityZone: string;
  readonly authorId: string;
  readonly hosts: readonly ZoneHost[];
  /** Newest change that the author holds of each kind. */
  readonly revisions: ReadonlyMap<Kind, number>;
  /** Requests by organisation, summed over the hosts. */
  readonly demands: ReadonlyMap<string, Demand>;
  /** Answers of versions, summed over all runs of the zone. */
  readonly counts: readonly VersionCount[];
  readonly stopped: readonly StoppedVersion[];
  readonly releases: readonly ReleaseProgress[];
  readonly blames: readonly CrashBlameNote[];
}

/**
 * Puts the reports of a zone together.
 *
 * @param own Report of the author.
 * @param others Reports of the other live hosts of the zone.
 * @param counts Sums over all runs of the zone.
 */
export function summarizeZone(
  own: HostReport,
  others: readonly HostReport[],
  counts: readonly VersionCount[],
): ZoneSummary {
  const reports = [own, ...others];
  const demands = new Map<string, Demand>();
  for (const report of reports) {
    for (const [id, { requestsPerS, admitted }] of report.demands) {
      const sum = demands.get(id);
      demands.set(id, {
        requestsPerS: (sum?.requestsPerS ?? 0) + requestsPerS,
        admitted: (sum?.admitted ?? 0) + admitted,
      });
    }
  }
  return {
    availabilityZone: own.record.availabilityZone,
    authorId: own.record.id,
    hosts: reports.map(({ record, store }) => ({
      record,
      store: store.watches ? store : undefined,
    })),
    revisions: own.revisions,
    demands,
    counts,
    // The author has taken over what the others have stopped.
    stopped: own.stopped,
    releases: own.releases,
    blames: distinctBlames(reports.flatMap(({ blames }) => blames)),
  };
}

function distinctBlames(blames: readonly CrashBlameNote[]): CrashBlameNote[] {
  const byKey = new Map(
    blames.map((blame) => [`${blame.fingerprint} ${blame.targetId}`, blame]),
  );
  return [...byKey.values()];
}
