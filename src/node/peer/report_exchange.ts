/**
 * Exchange of reports between hosts by datagrams.
 *
 * @module
 */
import { createSocket, type Socket } from "node:dgram";
import type { Membership } from "../../core/membership/membership.ts";
import type { HostReport } from "../../core/membership/report.ts";
import { parseAddress } from "../address.ts";
import { ExitError } from "../exit_status.ts";
import type { Log } from "../telemetry/log.ts";
import type { Metrics } from "../telemetry/metrics.ts";
import {
  decodeDatagram,
  encodeDatagram,
  type PeerDatagram,
  type PushedDelta,
} from "./report_codec.ts";

/** Time between two reports. */
const REPORT_MS = 250;
/** Shortest time between two reports that are sent for news. */
const NEWS_SPACING_MS = 30;
/** Largest datagram; others fetch what does not fit. */
const MAX_DATAGRAM_BYTES = 16_384;
/** Reports of other hosts that fit into one datagram with certainty. */
const REPORTS_PER_DATAGRAM = 24;

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
  readonly report: () => HostReport;
  /** A newer report of another host has arrived. */
  readonly onReport: (report: HostReport) => void;
  /** Another host passes changes of the store on. */
  readonly onPushed: (pushed: PushedDelta) => void;
}

/** Sends this host's reports and takes those of others. */
export class ReportExchange {
  readonly #options: ReportExchangeOptions;
  readonly #socket: Socket;
  readonly #reports = new Map<string, HostReport>();
  #timer: NodeJS.Timeout | undefined;
  #sentMs = -Infinity;
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
  push(): void {
    const { nowMs } = this.#options;
    if (nowMs() - this.#sentMs >= NEWS_SPACING_MS) this.#schedule(0);
  }

  /** Passes changes of the store on to all hosts, if a datagram holds them. */
  pass(pushed: PushedDelta): void {
    const bytes = encodeDatagram({ pushed: [pushed] });
    if (bytes.length > MAX_DATAGRAM_BYTES) return;
    for (const { peerAddress } of this.#options.membership.addresses()) {
      this.#sendBytes(peerAddress, bytes);
    }
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
    const { membership, nowMs, report, seeds } = this.#options;
    this.#sentMs = nowMs();
    const own = report();
    const recipients = membership.recipients(nowMs());
    const ownBytes = encodeDatagram({ reports: [own] });
    for (const { to, carries } of recipients) {
      if (carries === "own") this.#sendBytes(to.peerAddress, ownBytes);
    }
    if (recipients.length === 0) {
      for (const seed of seeds) this.#sendBytes(seed, ownBytes);
    }
    const relays = recipients.filter(({ carries }) => carries === "all");
    if (relays.length > 0) this.#relay(own, relays.map(({ to }) => to));
  }

  /** Passes on what other hosts of other zones have reported. */
  #relay(own: HostReport, to: readonly { peerAddress: string }[]): void {
    const { membership, nowMs } = this.#options;
    const live = membership.live(nowMs())
      .map(({ id }) => this.#reports.get(id))
      .filter((report) => report !== undefined);
    const all = [own, ...live];
    for (let i = 0; i < all.length; i += REPORTS_PER_DATAGRAM) {
      const reports = all.slice(i, i + REPORTS_PER_DATAGRAM);
      const bytes = encodeDatagram({ reports });
      for (const { peerAddress } of to) this.#sendBytes(peerAddress, bytes);
    }
  }

  #sendBytes(address: string, bytes: Uint8Array): void {
    const { host, port } = parseAddress(address);
    this.#options.metrics.peerMessages.inc({ direction: "sent" });
    // A lost datagram is made up for by the next report.
    this.#socket.send(bytes, port, host, () => {});
  }

  #receive(bytes: Buffer): void {
    const { membership, nowMs, onReport, onPushed, metrics, log } =
      this.#options;
    metrics.peerMessages.inc({ direction: "received" });
    let datagram: PeerDatagram;
    try {
      datagram = decodeDatagram(bytes);
    } catch (error) {
      log.warn("datagram_unreadable", { reason: (error as Error).message });
      return;
    }
    for (const pushed of datagram.pushed) onPushed(pushed);
    for (const report of datagram.reports) {
      if (!membership.note(report.record, nowMs())) continue;
      this.#reports.set(report.record.id, report);
      onReport(report);
    }
  }
}
