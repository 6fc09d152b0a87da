/**
 * Reports between the hosts of the fleet: creates those of this host and its
 * zone, and applies those of other hosts and zones.
 *
 * @module
 */
import type { Quotas } from "../../core/limits/quotas.ts";
import type { Membership } from "../../core/membership/membership.ts";
import type { CrashReport, HostReport } from "../../core/membership/report.ts";
import type {
  HostAddress,
  HostRecord,
  HostState,
} from "../../core/membership/types.ts";
import {
  summarizeZone,
  type ZoneSummary,
} from "../../core/membership/zone_summary.ts";
import type { Releases } from "../../core/release/releases.ts";
import type { StoppedVersion } from "../../core/release/types.ts";
import type { VersionCounts } from "../../core/release/version_counts.ts";
import type { StoreReport } from "../../core/store/store_availability.ts";
import type { TargetInstance } from "../../core/targets/leaving_targets.ts";
import {
  createLimitReport,
  recordLimitReport,
  type TargetLimit,
} from "../../core/targets/limit_reports.ts";
import type { TargetTable } from "../../core/targets/target_table.ts";
import type { Log } from "../telemetry/log.ts";
import type { PeerStatus, StoreReplica } from "./store_replica.ts";

/** Time for which a crash is included in the reports of this host. */
const CRASH_REPORT_DURATION_MS = 5_000;
/** Store report of a host that does not watch the store. */
const NON_WATCHER_REPORT: StoreReport = {
  watches: false,
  isFailing: false,
  ageMs: Infinity,
  sinceReturnMs: Infinity,
};

/** Options of `FleetReports`. */
export interface FleetReportsOptions {
  readonly self: HostAddress;
  /** Unix time of the process start in milliseconds. */
  readonly startedMs: number;
  /** Build that this process runs. */
  readonly build: string;
  readonly state: () => HostState;
  /** Whether this host reaches targets. */
  readonly hasTargetPath: () => boolean;
  readonly membership: Membership;
  readonly quotas: Quotas;
  readonly targets: TargetTable;
  readonly counts: VersionCounts;
  readonly releases: Releases;
  readonly replica: () => StoreReplica;
  /** Version of the applied document; 0 before the first one. */
  readonly documentVersion: () => number;
  readonly log: Log;
  readonly nowMs: () => number;
  /** Called with the address of a target that told another host it leaves. */
  readonly onTargetLeaving: (address: string) => void;
  /** Called when another host has reported a crash of a target. */
  readonly onCrashReport: (crash: CrashReport) => void;
  /** Requests a report at once, as other hosts have to learn of a change. */
  readonly requestReport: () => void;
}

/** Creates and applies reports. */
export class FleetReports {
  readonly #options: FleetReportsOptions;
  readonly #reports = new Map<string, HostReport>();
  readonly #peerStatuses = new Map<string, PeerStatus>();
  /** Last known process of each host. */
  readonly #peerProcesses = new Map<
    string,
    Pick<HostRecord, "startedMs" | "build">
  >();
  readonly #blockedFingerprints = new Set<string>();
  #recordedCrashes: { crash: CrashReport; recordedMs: number }[] = [];
  #sequence = 0;

  constructor(options: FleetReportsOptions) {
    this.#options = options;
  }

  /** Whether requests with this fingerprint are blocked. */
  isBlocked(fingerprint: string): boolean {
    return this.#blockedFingerprints.has(fingerprint);
  }

  /** Creates the next report of this host. */
  createReport(): HostReport {
    const { self, startedMs, state, quotas, targets, counts, releases, nowMs } =
      this.#options;
    const { replica, build } = this.#options;
    this.#sequence += 1;
    const atMs = nowMs();
    this.#recordedCrashes = this.#recordedCrashes.filter((recorded) =>
      recorded.crash.targetId === "" ||
      atMs - recorded.recordedMs < CRASH_REPORT_DURATION_MS
    );
    return {
      record: {
        ...self,
        startedMs,
        sequence: this.#sequence,
        state: state(),
        hasTargetPath: this.#options.hasTargetPath(),
        build,
      },
      positions: replica().changedPositions(),
      documentVersion: this.#options.documentVersion(),
      store: replica().createStoreReport(),
      demands: quotas.reportDemands(atMs),
      counts: counts.getLocalCounts(releases.getServicesInRelease()),
      stopped: releases.getStoppedVersions(),
      releases: releases.getProgress(atMs),
      limits: createLimitReport(targets, atMs),
      leavingTargets: targets.createLeavingReport(atMs),
      crashReports: this.#recordedCrashes
        .filter((recorded) =>
          atMs - recorded.recordedMs < CRASH_REPORT_DURATION_MS
        )
        .map(({ crash }) => crash),
    };
  }

  /**
   * Summarizes the zone of this host for the other zones.
   *
   * @param ownReport Report of this host.
   */
  createZoneSummary(ownReport: HostReport): ZoneSummary {
    const { membership, counts, releases, nowMs, self } = this.#options;
    const atMs = nowMs();
    const peerReports = membership.livePeers(atMs)
      .filter((host) => host.availabilityZone === self.availabilityZone)
      .flatMap(({ id }) => {
        const report = this.#reports.get(id);
        const receivedMs = this.#peerStatuses.get(id)?.receivedMs ?? atMs;
        return report === undefined ? [] : [{
          ...report,
          limits: report.limits.map((limit) => ({
            ...limit,
            ageMs: limit.ageMs + atMs - receivedMs,
          })),
        }];
      });
    return summarizeZone(
      ownReport,
      peerReports,
      counts.sumLocalAndPeerCounts(releases.getServicesInRelease()),
    );
  }

  /** Applies the report of another host. An outdated one is ignored. */
  applyReport(report: HostReport): void {
    const { membership, quotas, counts, releases, nowMs, self } = this.#options;
    const { record, positions, documentVersion, store } = report;
    const { id, peerAddress, startedMs, availabilityZone } = record;
    if (!membership.recordReport(record, nowMs())) return;
    if (this.#recordProcess(record)) this.#informNewProcesses();
    this.#reports.set(id, report);
    const atMs = nowMs();
    this.#peerStatuses.set(id, {
      peerAddress,
      positions,
      documentVersion,
      store,
      receivedMs: atMs,
    });
    const isInOwnZone = availabilityZone === self.availabilityZone;
    if (isInOwnZone || !membership.usesDelegates) {
      quotas.recordPeerDemands(id, report.demands, atMs);
      counts.setPeerCounts(`${id} ${startedMs}`, report.counts);
    }
    releases.recordProgress(report.releases, atMs);
    this.#recordLimits(report.limits, id);
    this.#recordLeaving(report.leavingTargets, id);
    this.#mergeStopsAndCrashes(report, id);
  }

  /** Applies the summary of another zone. */
  applyZoneSummary(summary: ZoneSummary): void {
    const { membership, quotas, counts, releases, nowMs } = this.#options;
    const { availabilityZone, authorId } = summary;
    const atMs = nowMs();
    let hasNewProcess = false;
    for (const { record, store = NON_WATCHER_REPORT } of summary.hosts) {
      if (!membership.recordReport(record, atMs)) continue;
      const { id, peerAddress } = record;
      if (this.#recordProcess(record)) hasNewProcess = true;
      const isAuthor = id === authorId;
      const positions = isAuthor ? summary.positions : new Map();
      this.#peerStatuses.set(id, {
        peerAddress,
        positions,
        documentVersion: isAuthor ? summary.documentVersion : 0,
        store,
        receivedMs: atMs,
      });
    }
    if (hasNewProcess) this.#informNewProcesses();
    if (!membership.usesDelegates) return;
    quotas.recordZoneDemands(availabilityZone, summary.demands, atMs);
    counts.setZoneCounts(availabilityZone, summary.counts);
    releases.recordProgress(summary.releases, atMs);
    this.#recordLimits(summary.limits, authorId);
    this.#recordLeaving(summary.leavingTargets, authorId);
    this.#mergeStopsAndCrashes(summary, authorId);
  }

  /** Returns the status of the other live hosts. */
  peerStatuses(): PeerStatus[] {
    const { membership, nowMs } = this.#options;
    return membership.livePeers(nowMs()).map(({ id }) =>
      this.#peerStatuses.get(id)
    )
      .filter((status) => status !== undefined);
  }

  /**
   * Whether this host owns a task in the store that one host performs for all.
   * The owner is the first host in the rank order of the task whose calls to
   * the store succeed.
   *
   * @param task Name of the task, which is hashed.
   */
  isTaskOwner(task: string): boolean {
    const { membership, replica, nowMs } = this.#options;
    if (replica().isFailing) return false;
    const isStoreReachable = (id: string) =>
      this.#peerStatuses.get(id)?.store.isFailing !== true;
    return membership.taskRank(task, nowMs(), isStoreReachable) === 0;
  }

  /** Passes the other hosts, alive or not, to the quotas. */
  updateQuotaPeers(): void {
    const { quotas, membership } = this.#options;
    quotas.setPeers(membership.peers());
  }

  /** Records a crash or a blocked fingerprint. Returns whether it was new. */
  recordCrash(crash: CrashReport): boolean {
    const isKnown = this.#recordedCrashes.some((recorded) =>
      recorded.crash.fingerprint === crash.fingerprint &&
      recorded.crash.targetId === crash.targetId
    );
    if (isKnown) return false;
    this.#recordedCrashes.push({ crash, recordedMs: this.#options.nowMs() });
    if (crash.targetId === "") this.#blockedFingerprints.add(crash.fingerprint);
    return true;
  }

  /** Records the process of a host. Returns whether it is new to this host. */
  #recordProcess(record: HostRecord): boolean {
    const { log, quotas } = this.#options;
    const { id, state, startedMs, build } = record;
    const earlier = this.#peerProcesses.get(id);
    if (earlier?.startedMs === startedMs) return false;
    this.#peerProcesses.set(id, { startedMs, build });
    if (earlier !== undefined && earlier.build !== build) {
      log.event("host_build_changed", {
        peer: id,
        build,
        previousBuild: earlier.build,
      });
    }
    if (!this.#peerStatuses.has(id)) {
      log.event("host_met", { peer: id, state, build });
      quotas.addPeer(record);
    }
    return true;
  }

  /** Reports again what a process that has just started does not know. */
  #informNewProcesses(): void {
    const { targets, nowMs, requestReport } = this.#options;
    targets.repeatLeavingReports(nowMs());
    if (targets.createLeavingReport(nowMs()).length > 0) requestReport();
  }

  #recordLimits(limits: readonly TargetLimit[], reporterId: string): void {
    const { targets, log, nowMs } = this.#options;
    for (
      const { target: { id, service }, statedLimit: { limitPerS } }
        of recordLimitReport(targets, limits, nowMs())
    ) {
      log.event("target_limit", {
        target: id,
        service,
        limitPerS,
        from: reporterId,
      });
    }
  }

  #recordLeaving(
    instances: readonly TargetInstance[],
    reporterId: string,
  ): void {
    const { targets, log, nowMs, onTargetLeaving, requestReport } =
      this.#options;
    let hasNewEntries = false;
    for (const instance of instances) {
      if (!targets.recordLeaving(instance, nowMs())) continue;
      hasNewEntries = true;
      const target = targets.get(instance.targetId)?.target;
      log.event("target_leaving", {
        target: instance.targetId,
        service: target?.service,
        from: reporterId,
      });
      if (target?.startedMs === instance.startedMs) {
        onTargetLeaving(target.address);
      }
    }
    if (hasNewEntries) requestReport();
  }

  #mergeStopsAndCrashes(
    { stopped, crashReports }: {
      stopped: readonly StoppedVersion[];
      crashReports: readonly CrashReport[];
    },
    reporterId: string,
  ): void {
    const { releases, log, onCrashReport, requestReport } = this.#options;
    let hasNewEntries = false;
    for (const stoppedVersion of stopped) {
      if (!releases.stopVersion(stoppedVersion)) continue;
      hasNewEntries = true;
      log.event("version_stopped", { ...stoppedVersion, from: reporterId });
    }
    for (const crash of crashReports) {
      if (!this.recordCrash(crash)) continue;
      hasNewEntries = true;
      if (crash.targetId !== "") onCrashReport(crash);
    }
    if (hasNewEntries) requestReport();
  }
}
