/**
 * Exchange of reports between hosts by datagrams.
 *
 * @module
 */
import { createSocket, type Socket } from "node:dgram";
import type { Membership } from "../../core/membership/membership.ts";
import type { HostReport } from "../../core/membership/report.ts";
import type { HostAddress } from "../../core/membership/types.ts";
import type { ZoneSummary } from "../../core/membership/zone_summary.ts";
import { parseAddress } from "../address.ts";
import { ExitError } from "../exit_status.ts";
import type { Log } from "../telemetry/log.ts";
import type { Metrics } from "../telemetry/metrics.ts";
import {
  decodeDatagram,
  decodeZoneSummary,
  encodeDatagram,
  encodeZoneSummary,
  type PushedDelta,
  type ZoneReport,
} from "./report_codec.ts";

/** Time between two reports. */
const REPORT_INTERVAL_MS = 250;
/** Shortest time between two reports that are sent for news. */
const MIN_REPORT_INTERVAL_MS = 30;
/** Largest datagram; others fetch what does not fit. */
const MAX_DATAGRAM_BYTES = 16_384;
/** Time between two reports of a zone, and between two with news. */
const ZONE_REPORT_INTERVAL_MS = 450;
const MIN_ZONE_REPORT_INTERVAL_MS = 100;

/** What an exchange is built from. */
export interface ReportExchangeOptions {
  readonly address: string;
  readonly membership: Membership;
  /** Addresses to try while no other host is known. */
  readonly seeds: readonly string[];
  readonly nowMs: () => number;
  readonly log: Log;
  readonly metrics: Metrics;
  /** This host's report. */
  readonly createReport: () => HostReport;
  /** What this host's zone tells the other zones. */
  readonly summarizeZone: (own: HostReport) => ZoneSummary;
  /** A report of another host has arrived. */
  readonly onReport: (report: HostReport) => void;
  /** A newer report of another zone has arrived. */
  readonly onZoneSummary: (summary: ZoneSummary) => void;
  /**
   * Another host passes changes of the store on. Returns whether they are
   * news.
   */
  readonly onPushedDelta: (pushed: PushedDelta) => boolean;
}

/** Sends this host's reports and takes those of others. */
export class ReportExchange {
  readonly #options: ReportExchangeOptions;
  readonly #socket: Socket;
  /** Newest report of each author of another zone. */
  readonly #zoneReports = new Map<string, ZoneReport>();
  #timer: NodeJS.Timeout | undefined;
  #sentMs = -Infinity;
  #zoneSentMs = -Infinity;
  #zoneSequence = 0;
  #isReportRequested = false;
  #isClosed = false;

  constructor(options: ReportExchangeOptions) {
    this.#options = options;
    this.#socket = createSocket("udp4");
  }

  /**
   * Starts to listen and to report.
   *
   * @throws {ExitError} `addressInUse`.
   */
  async start(): Promise<void> {
    const { address, log } = this.#options;
    const { host, port } = parseAddress(address);
    await new Promise<void>((resolve, reject) => {
      this.#socket.once("error", (error) =>
        reject(
          new ExitError(
            "addressInUse",
            `cannot listen on ${address} (listen.peers): ${error.message}`,
          ),
        ));
      this.#socket.bind(port, host, resolve);
    });
    this.#socket.removeAllListeners("error");
    this.#socket.on(
      "error",
      (error) => log.warn("datagram_failed", { reason: error.message }),
    );
    this.#socket.on("message", (bytes) => this.#receive(bytes));
    this.#schedule(0);
  }

  /** Reports soon, as something changed that others should know. */
  requestReport(): void {
    const { nowMs } = this.#options;
    this.#isReportRequested = true;
    if (nowMs() - this.#sentMs >= MIN_REPORT_INTERVAL_MS) this.#schedule(0);
  }

  /**
   * Passes changes of the store on to all hosts, to those of other zones
   * through one of each, if a datagram holds them.
   */
  broadcastDelta(pushed: PushedDelta): void {
    const { membership, nowMs } = this.#options;
    this.#sendDelta(membership.directPeers(), pushed);
    if (!membership.usesDelegates) return;
    const far = membership.remoteDelegates(this.#zoneSequence, nowMs());
    this.#sendDelta(far, { ...pushed, forZone: true });
  }

  #sendDelta(hosts: readonly HostAddress[], pushed: PushedDelta): void {
    const bytes = encodeDatagram({ pushedDeltas: [pushed] });
    if (bytes.length <= MAX_DATAGRAM_BYTES) this.#sendToAll(hosts, bytes);
  }

  /** Stops to report. */
  close(): void {
    if (this.#isClosed) return;
    this.#isClosed = true;
    clearTimeout(this.#timer);
    this.#socket.close();
  }

  #schedule(delayMs: number): void {
    if (this.#isClosed) return;
    clearTimeout(this.#timer);
    this.#timer = setTimeout(() => {
      this.#schedule(REPORT_INTERVAL_MS);
      try {
        this.#sendReport();
      } catch (error) {
        // A report that can't be encoded must not end the process.
        const reason = (error as Error).message;
        this.#options.log.warn("report_failed", { reason });
      }
    }, delayMs);
  }

  #sendReport(): void {
    const { membership, nowMs, createReport: report, seeds } = this.#options;
    const atMs = nowMs();
    this.#sentMs = atMs;
    const own = report();
    const bytes = encodeDatagram({ reports: [own] });
    const recipients = membership.directPeers();
    this.#sendToAll(recipients, bytes);
    if (recipients.length === 0) {
      for (const seed of seeds) this.#sendDatagram(seed, bytes);
    }
    if (membership.isDelegate(atMs)) this.#sendZoneReport(own, atMs);
    this.#isReportRequested = false;
  }

  /** Tells the other zones about this one. */
  #sendZoneReport(own: HostReport, atMs: number): void {
    const { membership, summarizeZone: summary } = this.#options;
    const intervalMs = this.#isReportRequested
      ? MIN_ZONE_REPORT_INTERVAL_MS
      : ZONE_REPORT_INTERVAL_MS;
    if (atMs - this.#zoneSentMs < intervalMs) return;
    this.#zoneSentMs = atMs;
    this.#zoneSequence += 1;
    const { record: { availabilityZone, id, startedMs } } = own;
    const zone: ZoneReport = {
      availabilityZone,
      authorId: id,
      startedMs,
      sequence: this.#zoneSequence,
      summary: encodeZoneSummary(summary(own)),
    };
    const far = membership.remoteDelegates(this.#zoneSequence, atMs);
    this.#sendToAll(far, encodeDatagram({ zoneReports: [zone] }));
  }

  #sendToAll(hosts: readonly HostAddress[], bytes: Uint8Array): void {
    for (const { peerAddress } of hosts) this.#sendDatagram(peerAddress, bytes);
  }

  #sendDatagram(address: string, bytes: Uint8Array): void {
    const { host, port } = parseAddress(address);
    this.#options.metrics.peerMessages.inc({ direction: "sent" });
    // A lost datagram is made up for by the next report.
    this.#socket.send(bytes, port, host, () => {});
  }

  #receive(bytes: Buffer): void {
    const { onReport, metrics } = this.#options;
    metrics.peerMessages.inc({ direction: "received" });
    const datagram = this.#decode(() => decodeDatagram(bytes));
    if (datagram === undefined) return;
    for (const pushed of datagram.pushedDeltas) {
      this.#receivePushedDelta(pushed);
    }
    for (const zone of datagram.zoneReports) this.#receiveZoneReport(zone);
    for (const report of datagram.reports) onReport(report);
  }

  #decode<T>(decode: () => T): T | undefined {
    try {
      return decode();
    } catch (error) {
      const reason = (error as Error).message;
      this.#options.log.warn("datagram_unreadable", { reason });
      return undefined;
    }
  }

  #receivePushedDelta(pushed: PushedDelta): void {
    const { onPushedDelta: onPushed, membership } = this.#options;
    if (!onPushed(pushed) || pushed.forZone !== true) return;
    this.#sendDelta(membership.directPeers(), { ...pushed, forZone: false });
  }

  /** Takes a report of another zone over and passes it on to the own zone. */
  #receiveZoneReport(zone: ZoneReport): void {
    const { onZoneSummary: onZone, membership, nowMs } = this.#options;
    const current = this.#zoneReports.get(zone.authorId);
    if (current !== undefined && !isNewer(zone, current)) return;
    const summary = this.#decode(() => decodeZoneSummary(zone));
    if (summary === undefined) return;
    this.#zoneReports.set(zone.authorId, zone);
    onZone(summary);
    if (!membership.isDelegate(nowMs())) return;
    this.#sendToAll(
      membership.directPeers(),
      encodeDatagram({ zoneReports: [zone] }),
    );
  }
}

function isNewer(a: ZoneReport, b: ZoneReport): boolean {
  return a.startedMs > b.startedMs ||
    (a.startedMs === b.startedMs && a.sequence > b.sequence);
}
