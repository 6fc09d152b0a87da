/**
 * Reports between the hosts of the fleet: creates those of this host and its
 * zone, and applies those of other hosts and zones.
 *
 * @module
 */
import {
  CrashMemory,
  type CrashReport,
} from "../../core/crashes/crash_memory.ts";
import type { Quotas } from "../../core/limits/quotas.ts";
import type { Membership } from "../../core/membership/membership.ts";
import type { HostReport } from "../../core/membership/report.ts";
import { Rotation } from "../../core/membership/rotation.ts";
import type { HostAddress, HostState } from "../../core/membership/types.ts";
import {
  summarizeZone,
  type ZoneSummary,
} from "../../core/membership/zone_summary.ts";
import type { Releases } from "../../core/release/releases.ts";
import type { StoppedVersion } from "../../core/release/types.ts";
import type { VersionCounts } from "../../core/release/version_counts.ts";
import {
  ageStoreReport,
  type StoreReport,
} from "../../core/store/store_availability.ts";
import type { TargetInstance } from "../../core/targets/leaving_targets.ts";
import {
  createLimitReport,
  recordLimitReport,
  type TargetLimit,
} from "../../core/targets/limit_reports.ts";
import { ObservationReports } from "../../core/targets/observation_reports.ts";
import type { TargetTable } from "../../core/targets/target_table.ts";
import type { Log } from "../telemetry/log.ts";
import type { Metrics } from "../telemetry/metrics.ts";
import { type PeerContact, PeerContacts } from "./peer_contacts.ts";
import type { PeerStatus, StoreReplica } from "./store_replica.ts";
import type { UsageReporter } from "./usage_reporter.ts";

/** Time for which more is reported after another host has missed reports. */
const REPEAT_MS = 3_000;
/**
 * Entries of one kind in a report, so that a datagram can hold it. The others
 * follow in turn in the next reports.
 */
const MAX_REPORTED = 256;
/** Stopped versions in a report: the last ones, and as many others in turn. */
const MAX_STOPPED_REPORTED = 32;
/** Store report of a host that does not watch the store. */
const NON_WATCHER_REPORT: StoreReport = {
  watches: false,
  isFailing: false,
  ageMs: Infinity,
  sinceReturnMs: Infinity,
  confirmations: [],
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
  readonly metrics: Pick<Metrics, "targetObservations">;
  readonly nowMs: () => number;
  /** Called with the address of a target that told another host it leaves. */
  readonly onTargetLeaving: (address: string) => void;
  /** Called when another host has reported a crash of a target. */
  readonly onCrashReport: (crash: CrashReport) => void;
  /** Whether requests with a fingerprint are suspected of crashes. */
  readonly isSuspected: (fingerprint: string) => boolean;
  /** Requests a report at once, as other hosts have to learn of a change. */
  readonly requestReport: () => void;
  /** Exchange of usage; absent if usage is not reported. */
  readonly usage?: UsageReporter;
}

/** Creates and applies reports. */
export class FleetReports {
  readonly #options: FleetReportsOptions;
  readonly #reports = new Map<string, HostReport>();
  readonly #peerStatuses = new Map<string, PeerStatus>();
  readonly #contacts: PeerContacts;
  readonly #crashMemory = new CrashMemory();
  readonly #rotations = {
    limits: new Rotation(),
    zoneLimits: new Rotation(),
    leavingTargets: new Rotation(),
    stopped: new Rotation(),
  };
  /** Time until which more is reported. */
  #repeatUntilMs = -Infinity;
  #sequence = 0;
  readonly #observations: ObservationReports;

  constructor(options: FleetReportsOptions) {
    this.#options = options;
    this.#contacts = new PeerContacts(options);
    this.#observations = new ObservationReports({
      ...options,
      onRecorded: (result, count) =>
        options.metrics.targetObservations.inc({ result }, count),
    });
  }

  /** Whether requests with this fingerprint are blocked. */
  isBlocked(fingerprint: string): boolean {
    return this.#crashMemory.isBlocked(fingerprint, this.#options.nowMs());
  }

  /** Records that this process was paused and may have missed reports. */
  recordPause(pauseMs: number): void {
    this.#contacts.recordPause(pauseMs);
  }

  /** Creates the next report of this host. */
  createReport(): HostReport {
    const { self, startedMs, state, quotas, targets, counts, releases, nowMs } =
      this.#options;
    const { replica, build, isSuspected, log } = this.#options;
    this.#sequence += 1;
    const atMs = nowMs();
    for (const fingerprint of this.#crashMemory.dropExpired(atMs)) {
      log.event("request_unblocked", { fingerprint });
    }
    const crashes = this.#crashMemory.createReport(isSuspected, atMs);
    const limits = createLimitReport(targets, atMs, {
      includesReported: atMs < this.#repeatUntilMs,
    });
    return {
      record: {
        ...self,
        startedMs,
        sequence: this.#sequence,
        state: state(),
        hasTargetPath: this.#options.hasTargetPath(),
        build,
        hasMissedReports: this.#contacts.hasMissedReports,
      },
      positions: replica().changedPositions(),
      documentVersion: this.#options.documentVersion(),
      store: replica().createStoreReport(),
      demands: quotas.reportDemands(atMs),
      counts: counts.getLocalCounts(releases.getServicesInRelease()),
      stopped: this.#chooseStoppedVersions(),
      releases: releases.getProgress(atMs),
      limits: this.#rotations.limits.take(limits, MAX_REPORTED),
      observations: this.#observations.createReport(atMs),
      leavingTargets: this.#rotations.leavingTargets.take(
        targets.createLeavingReport(atMs),
        MAX_REPORTED,
      ),
      crashReports: crashes.recent,
      rememberedCrashes: crashes.remembered,
      usage: this.#options.usage?.createReport(),
    };
  }

  #chooseStoppedVersions(): StoppedVersion[] {
    const stopped = this.#options.releases.getStoppedVersions();
    const last = stopped.splice(-MAX_STOPPED_REPORTED);
    return [
      ...this.#rotations.stopped.take(stopped, MAX_STOPPED_REPORTED),
      ...last,
    ];
  }

  /**
   * Summarizes the zone of this host for the other zones.
   *
   * @param ownReport Report of this host.
   */
  createZoneSummary(ownReport: HostReport): ZoneSummary {
    const { membership, quotas, counts, releases, nowMs, self } = this.#options;
    const atMs = nowMs();
    const peerReports = membership.livePeers(atMs)
      .filter((host) => host.availabilityZone === self.availabilityZone)
      .flatMap(({ id }) => {
        const report = this.#reports.get(id);
        const receivedMs = this.#peerStatuses.get(id)?.receivedMs ?? atMs;
        return report === undefined ? [] : [{
          ...report,
          store: ageStoreReport(report.store, atMs - receivedMs),
          limits: report.limits.map((limit) => ({
            ...limit,
            ageMs: limit.ageMs + atMs - receivedMs,
          })),
        }];
      });
    const summary = summarizeZone(ownReport, peerReports, {
      demands: quotas.reportZoneDemands(
        self.availabilityZone,
        ownReport.demands,
        atMs,
      ),
      counts: counts.sumLocalAndPeerCounts(releases.getServicesInRelease()),
      observations: this.#observations.createZoneReport(atMs),
    });
    const limits = this.#rotations.zoneLimits
      .take(summary.limits, MAX_REPORTED);
    const usage = this.#options.usage?.createZoneReport();
    return { ...summary, limits, usage };
  }

  /** Applies the report of another host. An outdated one is ignored. */
  applyReport(report: HostReport): void {
    const { membership, quotas, counts, releases, nowMs, self } = this.#options;
    const { record, positions, documentVersion, store } = report;
    const { id, peerAddress, startedMs, availabilityZone } = record;
    const atMs = nowMs();
    const contact = this.#contacts.recordReport(record);
    if (contact === undefined) return;
    this.#informPeers(contact);
    this.#reports.set(id, report);
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
    this.#options.usage?.applyReport({ hostId: id, startedMs }, report.usage);
    releases.recordProgress(report.releases, atMs);
    this.#recordLimits(report.limits, id);
    this.#observations.applyReport(report.observations, { isInOwnZone }, atMs);
    this.#recordLeaving(report.leavingTargets, id);
    this.#mergeStopsAndCrashes(report, id);
  }

  /**
   * Applies the summary of another zone. Returns false if its author is not a
   * known host of the zone; only its hosts are applied then.
   */
  applyZoneSummary(summary: ZoneSummary): boolean {
    const { membership, quotas, counts, releases, nowMs } = this.#options;
    const { availabilityZone, authorId } = summary;
    const atMs = nowMs();
    let isNewProcess = false;
    let hasMissedReports = false;
    for (const { record, store = NON_WATCHER_REPORT } of summary.hosts) {
      const { id, peerAddress } = record;
      const contact = this.#contacts.recordReport(record);
      if (contact === undefined) continue;
      isNewProcess ||= contact.isNewProcess;
      hasMissedReports ||= contact.hasMissedReports;
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
    this.#informPeers({ isNewProcess, hasMissedReports });
    const author = membership.get(authorId)?.record;
    if (author?.availabilityZone !== availabilityZone) return false;
    if (!membership.usesDelegates) return true;
    const authorProcess = { hostId: authorId, startedMs: author.startedMs };
    this.#options.usage
      ?.applyZoneReport(availabilityZone, authorProcess, summary.usage);
    quotas.recordZoneDemands(availabilityZone, summary.demands, atMs);
    counts.setZoneCounts(availabilityZone, summary.counts);
    releases.recordProgress(summary.releases, atMs);
    this.#recordLimits(summary.limits, authorId);
    this.#observations.applyZoneReport(summary.observations, atMs);
    this.#recordLeaving(summary.leavingTargets, authorId);
    this.#mergeStopsAndCrashes(summary, authorId);
    return true;
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

  /**
   * Records a crash that this host observed or, without a target, a block.
   */
  recordCrash(fingerprint: string, targetId: string): void {
    const nowMs = this.#options.nowMs();
    this.#crashMemory.record(fingerprint, { targetId, nowMs });
  }

  /**
   * Reports again what only hosts remember if another host may lack it, at once
   * to a process that has just started.
   */
  #informPeers({ isNewProcess, hasMissedReports }: PeerContact): void {
    if (!isNewProcess && !hasMissedReports) return;
    const { targets, nowMs, requestReport } = this.#options;
    const atMs = nowMs();
    this.#repeatUntilMs = atMs + REPEAT_MS;
    targets.repeatLeavingReports(atMs);
    this.#crashMemory.repeatReports(atMs);
    if (!isNewProcess) return;
    const hasEntries = !this.#crashMemory.isEmpty ||
      targets.createLeavingReport(atMs).length > 0;
    if (hasEntries) requestReport();
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
    { stopped, crashReports, rememberedCrashes }: {
      stopped: readonly StoppedVersion[];
      crashReports: readonly CrashReport[];
      rememberedCrashes: readonly CrashReport[];
    },
    reporterId: string,
  ): void {
    const { releases, log, requestReport } = this.#options;
    let hasNewEntries = false;
    for (const stoppedVersion of stopped) {
      if (!releases.stopVersion(stoppedVersion)) continue;
      hasNewEntries = true;
      log.event("version_stopped", { ...stoppedVersion, from: reporterId });
    }
    for (const crash of crashReports) {
      if (this.#mergeCrash(crash, reporterId)) hasNewEntries = true;
    }
    for (const crash of rememberedCrashes) this.#mergeCrash(crash, reporterId);
    if (hasNewEntries) requestReport();
  }

  /** Records a crash that another host reports. Returns whether it was new. */
  #mergeCrash(crash: CrashReport, reporterId: string): boolean {
    const { log, nowMs, onCrashReport } = this.#options;
    const { fingerprint, targetId, ageMs } = crash;
    if (!this.#crashMemory.recordReport(crash, nowMs())) return false;
    if (targetId !== "") onCrashReport(crash);
    else log.event("request_block", { fingerprint, ageMs, from: reporterId });
    return true;
  }
}
