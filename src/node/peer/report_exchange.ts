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
const REPORT_MS = 250;
/** Shortest time between two reports that are sent for news. */
const NEWS_SPACING_MS = 30;
/** Largest datagram; others fetch what does not fit. */
const MAX_DATAGRAM_BYTES = 16_384;
/** Time between two reports of a zone, and between two with news. */
const ZONE_REPORT_MS = 450;
const ZONE_NEWS_SPACING_MS = 100;

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
  readonly #zones = new Map<string, ZoneReport>();
  #timer: NodeJS.Timeout | undefined;
  #sentMs = -Infinity;
  #zoneSentMs = -Infinity;
  #zoneSequence = 0;
  #hasNews = false;
  #closed = false;

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
    this.#hasNews = true;
    if (nowMs() - this.#sentMs >= NEWS_SPACING_MS) this.#schedule(0);
  }

  /**
   * Passes changes of the store on to all hosts, to those of other zones
   * through one of each, if a datagram holds them.
   */
  broadcastDelta(pushed: PushedDelta): void {
    const { membership, nowMs } = this.#options;
    this.#passTo(membership.directPeers(), pushed);
    if (!membership.usesDelegates) return;
    const far = membership.remoteDelegates(this.#zoneSequence, nowMs());
    this.#passTo(far, { ...pushed, forZone: true });
  }

  #passTo(hosts: readonly HostAddress[], pushed: PushedDelta): void {
    const bytes = encodeDatagram({ pushedDeltas: [pushed] });
    if (bytes.length <= MAX_DATAGRAM_BYTES) this.#sendAll(hosts, bytes);
  }

  /** Stops to report. */
  close(): void {
    if (this.#closed) return;
    this.#closed = true;
    clearTimeout(this.#timer);
    this.#socket.close();
  }

  #schedule(delayMs: number): void {
    if (this.#closed) return;
    clearTimeout(this.#timer);
    this.#timer = setTimeout(() => {
      this.#schedule(REPORT_MS);
      try {
        this.#send();
      } catch (error) {
        // A report that can't be encoded must not end the process.
        const reason = (error as Error).message;
        this.#options.log.warn("report_failed", { reason });
      }
    }, delayMs);
  }

  #send(): void {
    const { membership, nowMs, createReport: report, seeds } = this.#options;
    const atMs = nowMs();
    this.#sentMs = atMs;
    const own = report();
    const bytes = encodeDatagram({ reports: [own] });
    const near = membership.directPeers();
    this.#sendAll(near, bytes);
    if (near.length === 0) {
      for (const seed of seeds) this.#sendBytes(seed, bytes);
    }
    if (membership.isDelegate(atMs)) this.#sendZone(own, atMs);
    this.#hasNews = false;
  }

  /** Tells the other zones about this one. */
  #sendZone(own: HostReport, atMs: number): void {
    const { membership, summarizeZone: summary } = this.#options;
    const spacingMs = this.#hasNews ? ZONE_NEWS_SPACING_MS : ZONE_REPORT_MS;
    if (atMs - this.#zoneSentMs < spacingMs) return;
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
    this.#sendAll(far, encodeDatagram({ zoneReports: [zone] }));
  }

  #sendAll(hosts: readonly HostAddress[], bytes: Uint8Array): void {
    for (const { peerAddress } of hosts) this.#sendBytes(peerAddress, bytes);
  }

  #sendBytes(address: string, bytes: Uint8Array): void {
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
    for (const pushed of datagram.pushedDeltas) this.#receivePushed(pushed);
    for (const zone of datagram.zoneReports) this.#receiveZone(zone);
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

  #receivePushed(pushed: PushedDelta): void {
    const { onPushedDelta: onPushed, membership } = this.#options;
    if (!onPushed(pushed) || pushed.forZone !== true) return;
    this.#passTo(membership.directPeers(), { ...pushed, forZone: false });
  }

  /** Takes a report of another zone over and passes it on to the own zone. */
  #receiveZone(zone: ZoneReport): void {
    const { onZoneSummary: onZone, membership, nowMs } = this.#options;
    const known = this.#zones.get(zone.authorId);
    if (known !== undefined && !isNewer(zone, known)) return;
    const summary = this.#decode(() => decodeZoneSummary(zone));
    if (summary === undefined) return;
    this.#zones.set(zone.authorId, zone);
    onZone(summary);
    if (!membership.isDelegate(nowMs())) return;
    this.#sendAll(
      membership.directPeers(),
      encodeDatagram({ zoneReports: [zone] }),
    );
  }
}

function isNewer(a: ZoneReport, b: ZoneReport): boolean {
  return a.startedMs > b.startedMs ||
    (a.startedMs === b.startedMs && a.sequence > b.sequence);
}
