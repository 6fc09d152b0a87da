/**
 * Contact with the other hosts: which processes are new, and whether reports may
 * have been missed.
 *
 * @module
 */
import type { Quotas } from "../../core/limits/quotas.ts";
import type { Membership } from "../../core/membership/membership.ts";
import { MissedReports } from "../../core/membership/missed_reports.ts";
import type { HostRecord } from "../../core/membership/types.ts";
import type { Log } from "../telemetry/log.ts";

/** Options of `PeerContacts`. */
export interface PeerContactsOptions {
  readonly membership: Membership;
  readonly quotas: Quotas;
  readonly log: Log;
  readonly nowMs: () => number;
}

/** What a report of another host tells about the contact with it. */
export interface PeerContact {
  /** Whether the process is new to this host. */
  readonly isNewProcess: boolean;
  /** Whether this host or the other one may have missed reports. */
  readonly hasMissedReports: boolean;
}

/** Tracks the contact with the other hosts. */
export class PeerContacts {
  readonly #options: PeerContactsOptions;
  readonly #missedReports: MissedReports;
  /** Last known process of each host. */
  readonly #processes = new Map<
    string,
    Pick<HostRecord, "startedMs" | "build">
  >();

  constructor(options: PeerContactsOptions) {
    this.#options = options;
    this.#missedReports = new MissedReports(options.nowMs());
  }

  /** Whether this host may have missed reports. */
  get hasMissedReports(): boolean {
    return this.#missedReports.isStatedAt(this.#options.nowMs());
  }

  /** Records that this process was paused and may have missed reports. */
  recordPause(pauseMs: number): void {
    this.#missedReports.recordSilence(pauseMs, this.#options.nowMs());
  }

  /** Records a report. Returns `undefined` if it is outdated. */
  recordReport(record: HostRecord): PeerContact | undefined {
    const { membership, nowMs } = this.#options;
    const atMs = nowMs();
    const { lastReportMs = atMs } = membership.get(record.id) ?? {};
    if (!membership.recordReport(record, atMs)) return undefined;
    const isHeardAgain = this.#missedReports
      .recordSilence(atMs - lastReportMs, atMs);
    return {
      isNewProcess: this.#recordProcess(record),
      hasMissedReports: isHeardAgain || record.hasMissedReports,
    };
  }

  #recordProcess(record: HostRecord): boolean {
    const { log, quotas } = this.#options;
    const { id, state, startedMs, build } = record;
    const earlier = this.#processes.get(id);
    if (earlier?.startedMs === startedMs) return false;
    this.#processes.set(id, { startedMs, build });
    if (earlier === undefined) {
      log.event("host_met", { peer: id, state, build });
      quotas.addPeer(record);
    } else if (earlier.build !== build) {
      log.event("host_build_changed", {
        peer: id,
        build,
        previousBuild: earlier.build,
      });
    }
    return true;
  }
}
