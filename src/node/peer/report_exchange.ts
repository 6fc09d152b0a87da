/**
 * Sends and receives the reports of hosts as UDP datagrams. Reports are sent
 * periodically and on request. In a large fleet the delegate of a zone also
 * sends the summary of its zone to the other zones.
 *
 * @module
 */
import { createSocket, type Socket, type SocketOptions } from "node:dgram";
import { lookup } from "node:dns";
import { once } from "node:events";
import { isIPv4 } from "node:net";
import {
  type Membership,
  type ReportOrder,
  supersedes,
} from "../../core/membership/membership.ts";
import type { HostReport } from "../../core/membership/report.ts";
import type { HostAddress } from "../../core/membership/types.ts";
import type { ZoneSummary } from "../../core/membership/zone_summary.ts";
import {
  type Address,
  bindAddress,
  type BindOptions,
  parseAddress,
} from "../address.ts";
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

/** Time between two periodic reports. */
const REPORT_INTERVAL_MS = 250;
/** Minimum time between a report and one that is requested. */
const MIN_REPORT_INTERVAL_MS = 30;
/** Maximum size of a datagram with a delta; larger deltas are fetched. */
const MAX_DELTA_DATAGRAM_BYTES = 16_384;
/** Maximum size of a datagram over IPv4; larger ones cannot be sent. */
const MAX_DATAGRAM_BYTES = 65_507;
/** Time between two periodic reports of a zone. */
const ZONE_REPORT_INTERVAL_MS = 450;
/** Minimum time between two reports of a zone when one is requested. */
const MIN_ZONE_REPORT_INTERVAL_MS = 100;

/** Number of parsed addresses that are kept. */
const MAX_PARSED_ADDRESSES = 4_096;

/** Options of a `ReportExchange`. */
export interface ReportExchangeOptions {
  /** IP address and port to listen on. */
  readonly address: string;
  readonly membership: Membership;
  /** Peer addresses that get reports while no other host is known. */
  readonly seeds: readonly string[];
  readonly nowMs: () => number;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Creates the current report of this host. */
  readonly createReport: () => HostReport;
  /** Summarizes this host's zone, given the report of this host. */
  readonly summarizeZone: (ownReport: HostReport) => ZoneSummary;
  /** Called with each report of another host. */
  readonly onReport: (report: HostReport) => void;
  /**
   * Called with each summary of another zone that is newer than the last.
   * Returns false if its author is not a known host of the zone.
   */
  readonly onZoneSummary: (summary: ZoneSummary) => boolean;
  /**
   * Called with changes of the store that another host forwards. Returns
   * whether any of them was new to this host.
   */
  readonly onPushedDelta: (pushedDelta: PushedDelta) => boolean;
}

/** Exchanges reports with the other hosts. */
export class ReportExchange {
  readonly #options: ReportExchangeOptions;
  readonly #socket: Socket;
  /** Order of the newest zone report by the id of its author. */
  readonly #zoneReports = new Map<
    string,
    { order: ReportOrder; receivedMs: number }
  >();
  /** Parsed addresses of other hosts, which are sent to all the time. */
  readonly #addresses = new Map<string, Address>();
  #timer: NodeJS.Timeout | undefined;
  #lastReportMs = -Infinity;
  #lastZoneReportMs = -Infinity;
  #zoneSequence = 0;
  #isReportRequested = false;
  #isClosed = false;

  constructor(options: ReportExchangeOptions) {
    this.#options = options;
    this.#socket = createSocket({ type: "udp4", lookup: lookUpAtOnce });
  }

  /**
   * Binds the socket and starts the periodic reports.
   *
   * @throws {ExitError} As `bindAddress`.
   */
  async start(options: BindOptions): Promise<void> {
    const { address, log } = this.#options;
    await bindAddress(address, async ({ host, port }) => {
      const listening = once(this.#socket, "listening");
      this.#socket.bind(port, host);
      await listening;
    }, options);
    this.#socket.on(
      "error",
      (error) => log.warn("datagram_failed", { reason: error.message }),
    );
    this.#socket.on("message", (bytes) => this.#receive(bytes));
    this.#schedule(0);
  }

  /**
   * Sends a report at once, or with the next periodic one if the last report is
   * too recent. Call it after a change that other hosts should learn of soon.
   */
  requestReport(): void {
    const { nowMs } = this.#options;
    this.#isReportRequested = true;
    if (nowMs() - this.#lastReportMs >= MIN_REPORT_INTERVAL_MS) {
      this.#schedule(0);
    }
  }

  /**
   * Sends changes of the store to all hosts, to those of other zones through
   * their delegates. Changes that exceed the maximum size are not sent.
   */
  broadcastDelta(pushedDelta: PushedDelta): void {
    const { membership, nowMs } = this.#options;
    this.#sendDelta(membership.directPeers(), pushedDelta);
    if (!membership.usesDelegates) return;
    const delegates = membership.remoteDelegates(this.#zoneSequence, nowMs());
    this.#sendDelta(delegates, { ...pushedDelta, forZone: true });
  }

  #sendDelta(hosts: readonly HostAddress[], pushedDelta: PushedDelta): void {
    const bytes = encodeDatagram({ pushedDeltas: [pushedDelta] });
    if (bytes.length <= MAX_DELTA_DATAGRAM_BYTES) this.#sendToAll(hosts, bytes);
  }

  /** Stops the reports and closes the socket. */
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
        // A report that cannot be created or encoded must not end the process.
        const reason = (error as Error).message;
        this.#options.log.warn("report_failed", { reason });
      }
    }, delayMs);
  }

  #sendReport(): void {
    const { membership, nowMs, createReport, seeds } = this.#options;
    const atMs = nowMs();
    this.#lastReportMs = atMs;
    const ownReport = createReport();
    const bytes = encodeDatagram({ reports: [ownReport] });
    const recipients = membership.directPeers();
    this.#sendToAll(recipients, bytes);
    if (recipients.length === 0) {
      for (const seed of seeds) this.#sendDatagram(seed, bytes);
    }
    const isLeaving = ownReport.record.state === "leaving";
    if (membership.isDelegate(atMs, { isLeaving })) {
      this.#sendZoneReport(ownReport, atMs);
    }
    this.#isReportRequested = false;
  }

  /** Sends the summary of this host's zone to the other zones, if it is due. */
  #sendZoneReport(ownReport: HostReport, atMs: number): void {
    const { membership, summarizeZone } = this.#options;
    const intervalMs = this.#isReportRequested
      ? MIN_ZONE_REPORT_INTERVAL_MS
      : ZONE_REPORT_INTERVAL_MS;
    if (atMs - this.#lastZoneReportMs < intervalMs) return;
    this.#lastZoneReportMs = atMs;
    this.#zoneSequence += 1;
    const { record: { availabilityZone, id, startedMs } } = ownReport;
    const zoneReport: ZoneReport = {
      availabilityZone,
      authorId: id,
      startedMs,
      sequence: this.#zoneSequence,
      summary: encodeZoneSummary(summarizeZone(ownReport)),
    };
    const delegates = membership.remoteDelegates(this.#zoneSequence, atMs);
    this.#sendToAll(delegates, encodeDatagram({ zoneReports: [zoneReport] }));
  }

  #sendToAll(hosts: readonly HostAddress[], bytes: Uint8Array): void {
    if (bytes.length > MAX_DATAGRAM_BYTES) {
      const reason = `the datagram has ${bytes.length} bytes`;
      return this.#options.log.warn("datagram_failed", { reason });
    }
    for (const { peerAddress } of hosts) this.#sendDatagram(peerAddress, bytes);
  }

  #sendDatagram(address: string, bytes: Uint8Array): void {
    const { host, port } = this.#parseAddress(address);
    this.#options.metrics.peerMessages.inc({ direction: "sent" });
    try {
      // Errors are ignored: the next report replaces a lost datagram.
      this.#socket.send(bytes, port, host, () => {});
    } catch (error) {
      // A port out of range throws; the other hosts still get the report.
      const reason = (error as Error).message;
      this.#options.log.warn("datagram_failed", { address, reason });
    }
  }

  #parseAddress(address: string): Address {
    let parsed = this.#addresses.get(address);
    if (parsed === undefined) {
      if (this.#addresses.size >= MAX_PARSED_ADDRESSES) this.#addresses.clear();
      parsed = parseAddress(address);
      this.#addresses.set(address, parsed);
    }
    return parsed;
  }

  #receive(bytes: Buffer): void {
    const { onReport, metrics } = this.#options;
    metrics.peerMessages.inc({ direction: "received" });
    const datagram = this.#decode(() => decodeDatagram(bytes));
    if (datagram === undefined) return;
    for (const pushedDelta of datagram.pushedDeltas) {
      this.#decode(() => this.#receivePushedDelta(pushedDelta));
    }
    for (const zoneReport of datagram.zoneReports) {
      this.#decode(() => this.#receiveZoneReport(zoneReport));
    }
    for (const report of datagram.reports) {
      this.#decode(() => onReport(report));
    }
  }

  /** Runs a step for a datagram; an error drops what it handles. */
  #decode<T>(decode: () => T): T | undefined {
    try {
      return decode();
    } catch (error) {
      const reason = (error as Error).message;
      this.#options.log.warn("datagram_unreadable", { reason });
      return undefined;
    }
  }

  #receivePushedDelta(pushedDelta: PushedDelta): void {
    const { onPushedDelta, membership } = this.#options;
    if (!onPushedDelta(pushedDelta) || pushedDelta.forZone !== true) return;
    this.#sendDelta(membership.directPeers(), {
      ...pushedDelta,
      forZone: false,
    });
  }

  /** Handles a report of another zone; a delegate forwards it to its zone. */
  #receiveZoneReport(zoneReport: ZoneReport): void {
    const { onZoneSummary, membership, nowMs } = this.#options;
    const current = this.#zoneReports.get(zoneReport.authorId);
    const receivedMs = nowMs();
    if (
      current !== undefined &&
      !supersedes(zoneReport, current.order, receivedMs - current.receivedMs)
    ) return;
    const summary = this.#decode(() => decodeZoneSummary(zoneReport));
    if (summary === undefined) return;
    const { authorId, startedMs, sequence } = zoneReport;
    // An author that isn't known after its summary was applied is one too many.
    if (!onZoneSummary(summary)) return;
    this.#zoneReports.set(authorId, {
      order: { startedMs, sequence },
      receivedMs,
    });
    if (!membership.isDelegate(receivedMs)) return;
    this.#sendToAll(
      membership.directPeers(),
      encodeDatagram({ zoneReports: [zoneReport] }),
    );
  }
}

/**
 * Looks up an IP address without the detour through the event loop that
 * `lookup` takes for each datagram.
 */
const lookUpAtOnce: SocketOptions["lookup"] = (hostname, options, onFound) => {
  if (isIPv4(hostname)) onFound(null, hostname, 4);
  else lookup(hostname, options, onFound);
};
