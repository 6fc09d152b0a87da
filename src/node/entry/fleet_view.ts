/**
 * What this host tells other hosts, and where their reports go.
 *
 * @module
 */
import type { Quotas } from "../../core/limits/quotas.ts";
import type { Membership } from "../../core/membership/membership.ts";
import type { CrashReport, HostReport } from "../../core/membership/report.ts";
import type { HostAddress, HostState } from "../../core/membership/types.ts";
import {
  summarizeZone,
  type ZoneSummary,
} from "../../core/membership/zone_summary.ts";
import type { Releases } from "../../core/release/releases.ts";
import type { StoppedVersion } from "../../core/release/types.ts";
import type { VersionCounts } from "../../core/release/version_counts.ts";
import type { StoreReport } from "../../core/store/store_availability.ts";
import type { Log } from "../telemetry/log.ts";
import type { ControlState, PeerPosition } from "./control_state.ts";

/** Time for which a blame is reported to other hosts. */
const BLAME_REPORT_MS = 5_000;
/** What is known of the store through a host that does not watch it. */
const NOT_WATCHING: StoreReport = {
  watches: false,
  isFailing: false,
  ageMs: Infinity,
  sinceReturnMs: Infinity,
};

/** What a view is built from. */
export interface FleetViewOptions {
  readonly self: HostAddress;
  readonly startedMs: number;
  readonly state: () => HostState;
  readonly membership: Membership;
  readonly quotas: Quotas;
  readonly counts: VersionCounts;
  readonly releases: Releases;
  readonly control: () => ControlState;
  readonly log: Log;
  readonly nowMs: () => number;
  /** Another host has seen a target die with this fingerprint in flight. */
  readonly onSuspicion: (note: CrashReport) => void;
  /** Something was learned that other hosts should know at once. */
  readonly onNews: () => void;
}

/** Exchange of knowledge with other hosts. */
export class FleetView {
  readonly #options: FleetViewOptions;
  readonly #reports = new Map<string, HostReport>();
  readonly #positions = new Map<string, PeerPosition>();
  readonly #blocked = new Set<string>();
  #blames: { note: CrashReport; atMs: number }[] = [];
  #sequence = 0;

  constructor(options: FleetViewOptions) {
    this.#options = options;
  }

  /** Whether requests with a fingerprint are blocked. */
  isBlocked(fingerprint: string): boolean {
    return this.#blocked.has(fingerprint);
  }

  /** This host's report. */
  report(): HostReport {
    const { self, startedMs, state, quotas, counts, releases, control, nowMs } =
      this.#options;
    this.#sequence += 1;
    const atMs = nowMs();
    this.#blames = this.#blames.filter((blame) =>
      blame.note.targetId === "" || atMs - blame.atMs < BLAME_REPORT_MS
    );
    return {
      record: { ...self, startedMs, sequence: this.#sequence, state: state() },
      revisions: control().changedRevisions(),
      store: control().report(),
      demands: quotas.reportDemands(atMs),
      counts: counts.getLocalCounts(releases.getServicesInRelease()),
      stopped: releases.getStoppedVersions(),
      releases: releases.getProgress(atMs),
      crashReports: this.#blames
        .filter((blame) => atMs - blame.atMs < BLAME_REPORT_MS)
        .map(({ note }) => note),
    };
  }

  /** What the zone tells the other zones. */
  summary(own: HostReport): ZoneSummary {
    const { membership, counts, releases, nowMs, self } = this.#options;
    const near = membership.livePeers(nowMs())
      .filter((host) => host.availabilityZone === self.availabilityZone)
      .map(({ id }) => this.#reports.get(id))
      .filter((report) => report !== undefined);
    return summarizeZone(
      own,
      near,
      counts.sumLocalAndPeerCounts(releases.getServicesInRelease()),
    );
  }

  /** Takes over the report of a host. */
  takeReport(report: HostReport): void {
    const { membership, quotas, counts, releases, nowMs, self } = this.#options;
    const { record, revisions, store } = report;
    const { id, peerAddress, startedMs, availabilityZone } = record;
    if (!membership.recordReport(record, nowMs())) return;
    this.#meet(id, record.state);
    this.#reports.set(id, report);
    const atMs = nowMs();
    this.#positions.set(id, { peerAddress, revisions, store, atMs });
    const isNear = availabilityZone === self.availabilityZone;
    if (isNear || !membership.usesDelegates) {
      quotas.recordPeerDemands(id, report.demands, atMs);
      counts.setPeerCounts(`${id} ${startedMs}`, report.counts);
    }
    releases.recordProgress(report.releases, atMs);
    this.#learn(report, id);
  }

  /** Takes over what another zone tells. */
  takeZone(summary: ZoneSummary): void {
    const { membership, quotas, counts, releases, nowMs } = this.#options;
    const { availabilityZone, authorId } = summary;
    const atMs = nowMs();
    for (const { record, store = NOT_WATCHING } of summary.hosts) {
      if (!membership.recordReport(record, atMs)) continue;
      const { id, peerAddress } = record;
      this.#meet(id, record.state);
      const revisions = id === authorId ? summary.revisions : new Map();
      this.#positions.set(id, { peerAddress, revisions, store, atMs });
    }
    if (!membership.usesDelegates) return;
    quotas.recordZoneDemands(availabilityZone, summary.demands, atMs);
    counts.setZoneCounts(availabilityZone, summary.counts);
    releases.recordProgress(summary.releases, atMs);
    this.#learn(summary, authorId);
  }

  /** What live hosts hold and how they see the store. */
  positions(): PeerPosition[] {
    const { membership, nowMs } = this.#options;
    return membership.livePeers(nowMs()).map(({ id }) =>
      this.#positions.get(id)
    )
      .filter((one) => one !== undefined);
  }

  /**
   * Whether this host does a task in the store that one host does for all:
   * the first one in an order of those which the store answers.
   */
  holdsStoreDuty(duty: string): boolean {
    const { membership, control, nowMs } = this.#options;
    if (control().isFailing) return false;
    const isAble = (id: string) =>
      this.#positions.get(id)?.store.isFailing !== true;
    return membership.taskRank(duty, nowMs(), isAble) === 0;
  }

  /** Takes over which hosts there are, heard of or not. */
  followHosts(): void {
    const { quotas, membership } = this.#options;
    quotas.setPeers(membership.peers());
  }

  /** Remembers a blame. Returns whether it is news. */
  noteBlame(note: CrashReport): boolean {
    const known = this.#blames.some((blame) =>
      blame.note.fingerprint === note.fingerprint &&
      blame.note.targetId === note.targetId
    );
    if (known) return false;
    this.#blames.push({ note, atMs: this.#options.nowMs() });
    if (note.targetId === "") this.#blocked.add(note.fingerprint);
    return true;
  }

  #meet(id: string, state: HostState): void {
    if (this.#positions.has(id)) return;
    this.#options.log.event("host_met", { peer: id, state });
    this.followHosts();
  }

  #learn(
    { stopped, crashReports }: {
      stopped: readonly StoppedVersion[];
      crashReports: readonly CrashReport[];
    },
    from: string,
  ): void {
    const { releases, log, onSuspicion, onNews } = this.#options;
    let isNews = false;
    for (const one of stopped) {
      if (!releases.stopVersion(one)) continue;
      isNews = true;
      log.event("version_stopped", { ...one, from });
    }
    for (const note of crashReports) {
      if (!this.noteBlame(note)) continue;
      isNews = true;
      if (note.targetId !== "") onSuspicion(note);
    }
    if (isNews) onNews();
  }
}
