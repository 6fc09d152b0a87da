/**
 * Loop around the usage reports: exchanges counts with the other hosts and, on
 * the host that holds the duty, reports them to the platform.
 *
 * @module
 */
import type { Membership } from "../../core/membership/membership.ts";
import type { HostAddress } from "../../core/membership/types.ts";
import type { EntrySettings } from "../../core/settings/entry_settings.ts";
import {
  decodeDutyRecord,
  encodeDutyRecord,
} from "../../core/usage/duty_record.ts";
import { FleetClock } from "../../core/usage/fleet_clock.ts";
import type {
  DutyAction,
  DutyHolder,
  DutyNotice,
  ProcessUsage,
  SendUsage,
  UsageReport,
} from "../../core/usage/types.ts";
import { UsageCollector } from "../../core/usage/usage_collector.ts";
import { UsageCounter } from "../../core/usage/usage_counter.ts";
import { UsageDuty } from "../../core/usage/usage_duty.ts";
import { decodeUsageCounts, encodeUsageCounts } from "../peer/usage_codec.ts";
import { type ObjectStore, StoreError } from "../store/object_store.ts";
import { logUnexpectedError } from "../telemetry/guard.ts";
import type { Log } from "../telemetry/log.ts";
import type { Metrics } from "../telemetry/metrics.ts";
import type { StoreReplica } from "./store_replica.ts";

/** Name of the duty's object in the store, and of the task. */
const DUTY_NAME = "usage";
/** Share of the platform's rate of calls that a holder uses. */
const CALL_RATE_SHARE = 0.5;
/**
 * Reports in flight at a time. A slow API then delays no other windows, and at
 * most two calls follow one whose token the platform refuses.
 */
const MAX_CALLS_IN_FLIGHT = 3;

/**
 * Share of `lateMs` between two reports that carry counts. A count takes two of
 * them to the holder, which fixes it after a share of 0.3.
 */
const REPORT_INTERVAL_SHARE = 0.08;

/** Identifies a process of a host. */
type ProcessId = Pick<ProcessUsage, "hostId" | "startedMs">;

/** Options of a `UsageReporter`. */
export interface UsageReporterOptions {
  readonly self: HostAddress;
  /** Unix time of the process start in milliseconds. */
  readonly startedMs: number;
  readonly settings: NonNullable<EntrySettings["usageReports"]>;
  readonly sendUsage: SendUsage;
  readonly store: ObjectStore;
  readonly replica: () => Pick<
    StoreReplica,
    "recordResponse" | "recordFailure"
  >;
  readonly membership: Membership;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Whether this host serves requests. */
  readonly isReady: () => boolean;
  /** Whether this host performs a task in the store for all hosts. */
  readonly isTaskOwner: (task: string) => boolean;
  /** Whether other hosts report that they reach the store. */
  readonly isStoreReached: () => boolean;
  readonly nowMs: () => number;
  /** Unix time of this host's clock. */
  readonly clockMs: () => number;
}

/** Counts this host's requests and reports those of the fleet. */
export class UsageReporter {
  /** Counts of this process. */
  readonly counter: UsageCounter;
  readonly #options: UsageReporterOptions;
  readonly #clock: FleetClock;
  readonly #collector: UsageCollector;
  readonly #duty: UsageDuty;
  /** Number of the counts that were taken last. */
  #sequence = 0;
  readonly #reportIntervalMs: number;
  readonly #minCallIntervalMs: number;
  #isStoreBusy = false;
  #callsInFlight = 0;
  #lastCallMs = -Infinity;
  #lastReportMs = -Infinity;
  #lastZoneReportMs = -Infinity;

  constructor(options: UsageReporterOptions) {
    this.#options = options;
    const { settings, nowMs, startedMs, self } = options;
    const { windowMs, lateMs } = settings;
    const atMs = nowMs();
    this.#minCallIntervalMs = 1_000 / (settings.callsPerS * CALL_RATE_SHARE);
    this.#reportIntervalMs = lateMs * REPORT_INTERVAL_SHARE;
    this.#clock = new FleetClock(options.clockMs(), atMs);
    this.counter = new UsageCounter({
      windowAt: (ms) => Math.floor(this.#clock.toWallMs(ms) / windowMs),
      keptWindows: Math.ceil(lateMs / windowMs),
    });
    this.#collector = new UsageCollector({
      keptMs: lateMs + 2 * windowMs,
      decode: (bytes) => this.#decode(bytes),
    });
    const process = { hostId: self.id, startedMs };
    const clockMs = this.#clock.toWallMs(atMs);
    this.#duty = new UsageDuty(process, settings, { clockMs, nowMs: atMs });
  }

  /** Records that this process was paused and heard nothing meanwhile. */
  recordPause(pauseMs: number): void {
    this.#duty.recordPause(pauseMs, this.#options.nowMs());
  }

  /** Creates the report of this process; `undefined` if none is due. */
  createReport(): UsageReport | undefined {
    const atMs = this.#options.nowMs();
    if (atMs - this.#lastReportMs < this.#reportIntervalMs) return undefined;
    this.#lastReportMs = atMs;
    return this.#createReport([this.#countOwn()]);
  }

  /**
   * Creates the report of all processes of this host's zone; `undefined` if none
   * is due.
   */
  createZoneReport(): UsageReport | undefined {
    const atMs = this.#options.nowMs();
    if (atMs - this.#lastZoneReportMs < this.#reportIntervalMs) {
      return undefined;
    }
    this.#lastZoneReportMs = atMs;
    const ownAndPeers = [this.#countOwn(), ...this.#collector.directCounts()];
    return this.#createReport(ownAndPeers);
  }

  /** Applies the report of a process that was received from it. */
  applyReport(process: ProcessId, report: UsageReport | undefined): void {
    if (report === undefined) return;
    const atMs = this.#options.nowMs();
    this.#collector.recordProcess(process, report.counts, atMs);
    this.#apply(process, report, atMs);
  }

  /** Applies the report of another zone. */
  applyZoneReport(
    zone: string,
    author: ProcessId,
    report: UsageReport | undefined,
  ): void {
    if (report === undefined) return;
    const atMs = this.#options.nowMs();
    const { counts: bytes } = report;
    this.#collector.recordZone(zone, author, { bytes, nowMs: atMs });
    this.#apply(author, report, atMs);
  }

  /** Decides what is due, and does it. Called several times per second. */
  tick(): void {
    const { nowMs, clockMs, membership, isTaskOwner } = this.#options;
    const atMs = nowMs();
    this.#clock.update(clockMs(), atMs);
    this.#collector.prune(atMs);
    // A call to the store and a report may be due at the same time.
    for (let n = 0; n < 2; n++) {
      const action = this.#duty.decide({
        clockMs: this.#clock.toWallMs(atMs),
        isReady: this.#options.isReady(),
        isCandidate: () => isTaskOwner(DUTY_NAME),
        hasQuorum: () =>
          2 * (membership.livePeers(atMs).length + 1) >
            membership.peers().length,
        isStoreReached: this.#options.isStoreReached,
        isStoreBusy: this.#isStoreBusy,
        maySend: this.#callsInFlight < MAX_CALLS_IN_FLIGHT &&
          atMs - this.#lastCallMs >= this.#minCallIntervalMs,
        silenceMs: (holder) => this.#silenceMs(holder, atMs),
        sumWindow: (number) =>
          this.#collector.sumWindow(number, this.#countOwn()),
      }, atMs);
      if (action === undefined) break;
      this.#start(action, atMs);
    }
    for (const notice of this.#duty.takeNotices()) this.#logNotice(notice);
  }

  /** Describes the duty to operators, as a JSON value. */
  describe(): unknown {
    const clockMs = this.#clock.toWallMs(this.#options.nowMs());
    return {
      ...this.#duty.progress,
      isHolder: this.#duty.isHolder,
      window: Math.floor(clockMs / this.#options.settings.windowMs),
      clockDifferenceMs: Math.round(this.#options.clockMs() - clockMs),
    };
  }

  #countOwn(): ProcessUsage {
    const { self, startedMs, nowMs } = this.#options;
    const atMs = nowMs();
    this.#sequence += 1;
    return {
      hostId: self.id,
      startedMs,
      sequence: this.#sequence,
      windows: this.counter.report(atMs),
    };
  }

  #createReport(processes: readonly ProcessUsage[]): UsageReport {
    const { progress: holder } = this.#duty;
    const fixedWindow = holder?.fixedWindow ?? -1;
    // The counts of fixed windows are not needed any more.
    const open = processes.map((process) => ({
      ...process,
      windows: process.windows.filter(({ windowNumber }) =>
        windowNumber > fixedWindow
      ),
    }));
    return {
      clockMs: this.#options.clockMs(),
      counts: encodeUsageCounts(
        open.filter(({ windows }) => windows.length > 0),
      ),
      holder,
    };
  }

  #apply({ hostId }: ProcessId, report: UsageReport, atMs: number): void {
    this.#clock.recordPeer(hostId, report.clockMs, atMs);
    if (report.holder !== undefined) this.#duty.recordProgress(report.holder);
  }

  #silenceMs({ hostId, startedMs }: DutyHolder, atMs: number): number {
    const { self, membership } = this.#options;
    if (hostId === self.id) return Infinity;
    const peer = membership.get(hostId);
    if (peer === undefined || peer.record.state === "leaving") return Infinity;
    if (peer.record.startedMs !== startedMs) return Infinity;
    return atMs - peer.lastReportMs;
  }

  #start(action: DutyAction, atMs: number): void {
    const { log } = this.#options;
    const logError = (error: unknown) =>
      logUnexpectedError(log, "usage", error);
    if (action.type === "send") {
      this.#lastCallMs = atMs;
      this.#callsInFlight += 1;
      this.#send(action, atMs).catch(logError)
        .finally(() => this.#callsInFlight -= 1);
    } else {
      this.#isStoreBusy = true;
      this.#callStore(action, atMs).catch(logError)
        .finally(() => this.#isStoreBusy = false);
    }
  }

  async #send(
    action: Extract<DutyAction, { type: "send" }>,
    startedMs: number,
  ): Promise<void> {
    const { nowMs, sendUsage, log, metrics } = this.#options;
    const { usage, holder } = action;
    const end = await sendUsage(
      usage,
      holder,
      () => this.#duty.maySend(startedMs, nowMs()),
    );
    const atMs = nowMs();
    metrics.usageCalls.inc({ end });
    if (end !== "accepted") {
      const { windowNumber: window } = usage;
      log.event("usage_not_reported", { window, end });
    }
    const clockMs = this.#clock.toWallMs(atMs);
    this.#duty.recordSent(action, end, { clockMs, nowMs: atMs });
  }

  async #callStore(
    action: Exclude<DutyAction, { type: "send" }>,
    startedMs: number,
  ): Promise<void> {
    const { store, log, nowMs } = this.#options;
    const replica = this.#options.replica();
    try {
      if (action.type === "read") {
        const object = await store.read("duties", DUTY_NAME);
        const record = decodeDutyRecord(object?.specification);
        if (object !== undefined && record === undefined) {
          log.warn("duty_unreadable", { name: DUTY_NAME });
        }
        const revision = object?.revision;
        this.#duty.recordRead({ record, revision }, startedMs);
      } else {
        const { record, revision } = action.stored;
        const newRevision = await store.replace(
          "duties",
          DUTY_NAME,
          record && encodeDutyRecord(record),
          revision,
        );
        const stored = { record, revision: newRevision };
        this.#duty.recordWritten(stored, startedMs);
      }
      replica.recordResponse();
    } catch (error) {
      if (!(error instanceof StoreError)) throw error;
      const { kind, message } = error;
      log.event("duty_call_failed", { call: action.type, reason: message });
      if (kind === "conflict") return this.#duty.recordConflict();
      this.#duty.recordStoreFailure(action, nowMs());
      if (kind === "unanswered") replica.recordFailure(message);
    }
  }

  #logNotice(notice: DutyNotice): void {
    const { log, metrics, settings: { lateMs }, self } = this.#options;
    switch (notice.type) {
      case "taken":
        return log.event("duty_taken", { token: notice.token });
      case "lost":
        return log.event("duty_lost", {
          token: notice.token,
          reason: notice.reason,
        });
      case "missed":
        metrics.usageWindows.inc({ end: "missed" });
        return log.warn("usage_missed", { window: notice.windowNumber });
      case "reported": {
        const { windowNumber, fixedBy, ageMs } = notice;
        const end = ageMs > lateMs
          ? "late"
          : fixedBy === self.id
          ? "reported"
          : "corrected";
        metrics.usageWindows.inc({ end });
        log.event("usage_reported", {
          window: windowNumber,
          end,
          fixedBy,
          ageMs: Math.round(ageMs),
        });
      }
    }
  }

  #decode(bytes: Uint8Array): readonly ProcessUsage[] {
    try {
      return decodeUsageCounts(bytes);
    } catch (error) {
      const reason = (error as Error).message;
      this.#options.log.warn("usage_unreadable", { reason });
      return [];
    }
  }
}
