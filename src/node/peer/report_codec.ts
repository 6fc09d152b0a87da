/**
 * Encoding of datagrams between hosts.
 *
 * @module
 */
import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import type { HostReport } from "../../core/membership/report.ts";
import type { HostState } from "../../core/membership/types.ts";
import type { ZoneSummary } from "../../core/membership/zone_summary.ts";
import type { Demand } from "../../core/limits/quotas.ts";
import type { ReleaseProgress } from "../../core/release/types.ts";
import type { StoreReport } from "../../core/store/store_outlook.ts";
import type { Kind, KindDelta } from "../../core/store/types.ts";
import {
  type Demands,
  type HostReport as HostReportMessage,
  HostReportSchema,
  PeerDatagramSchema,
  type StoreReport as StoreReportMessage,
  ZoneSummarySchema,
} from "../../gen/cranberryhoist/v1/peer_pb.ts";
import { deltaFromMessage, deltaToMessage, isKind } from "./delta_codec.ts";

const STATES: readonly HostState[] = ["starting", "ready", "leaving"];
/** Stands for a time that has no value. */
const NEVER = -1;

/** Changes that are passed on. */
export interface PushedDelta {
  readonly kind: Kind;
  /** Newest change that the receiver has to hold already. */
  readonly baseRevision: number;
  readonly delta: KindDelta;
  /** Whether the receiver passes it on to its own zone. */
  readonly forZone?: boolean;
}

/** What a zone tells, with which of two reports is newer. */
export interface ZoneReport {
  readonly availabilityZone: string;
  readonly authorId: string;
  /** Unix time of the author's start in milliseconds. */
  readonly startedMs: number;
  readonly sequence: number;
  /** The encoded summary. */
  readonly summary: Uint8Array;
}

/** What a datagram carries. */
export interface PeerDatagram {
  readonly reports: readonly HostReport[];
  readonly pushed: readonly PushedDelta[];
  readonly zones: readonly ZoneReport[];
}

/** Encodes a datagram. */
export function encodeDatagram(datagram: Partial<PeerDatagram>): Uint8Array {
  const { reports = [], pushed = [], zones = [] } = datagram;
  return toBinary(
    PeerDatagramSchema,
    create(PeerDatagramSchema, {
      reports: reports.map(toMessage),
      pushed: pushed.map(({ kind, baseRevision, delta, forZone = false }) => ({
        baseRevision,
        delta: deltaToMessage(kind, delta),
        forZone,
      })),
      zones: zones.map((zone) => ({ ...zone })),
    }),
  );
}

/** Decodes a datagram; throws when it can't be read. */
export function decodeDatagram(bytes: Uint8Array): PeerDatagram {
  const { reports, pushed, zones } = fromBinary(PeerDatagramSchema, bytes);
  return {
    reports: reports.map(fromMessage),
    pushed: pushed.flatMap(({ baseRevision, delta, forZone }) => {
      const decoded = delta && deltaFromMessage(delta);
      return decoded === undefined
        ? []
        : [{ ...decoded, baseRevision, forZone }];
    }),
    zones,
  };
}

/** Encodes what a zone tells. */
export function encodeZoneSummary(summary: ZoneSummary): Uint8Array {
  const { hosts } = summary;
  return toBinary(
    ZoneSummarySchema,
    create(ZoneSummarySchema, {
      region: hosts[0]?.record.region ?? "",
      hosts: hosts.map(({ record, store }) => ({
        hostId: record.id,
        callerAddress: record.callerAddress,
        peerAddress: record.peerAddress,
        startedMs: record.startedMs,
        sequence: record.sequence,
        state: record.state,
        store: store && storeToMessage(store),
      })),
      revisions: revisionsToMessage(summary.revisions),
      demands: demandsToMessage(summary.demands),
      counts: summary.counts.map((count) => ({ ...count })),
      stopped: summary.stopped.map((stopped) => ({ ...stopped })),
      blames: summary.blames.map((blame) => ({ ...blame })),
      releases: releasesToMessage(summary.releases),
    }),
  );
}

/** Decodes what a zone tells; throws when it can't be read. */
export function decodeZoneSummary(
  { availabilityZone, authorId, summary }: ZoneReport,
): ZoneSummary {
  const message = fromBinary(ZoneSummarySchema, summary);
  const { region } = message;
  return {
    availabilityZone,
    authorId,
    hosts: message.hosts.map((host) => ({
      record: {
        id: host.hostId,
        availabilityZone,
        region,
        callerAddress: host.callerAddress,
        peerAddress: host.peerAddress,
        startedMs: host.startedMs,
        sequence: host.sequence,
        state: stateOf(host.state),
      },
      store: host.store && storeOf(host.store),
    })),
    revisions: revisionsOf(message.revisions),
    demands: demandsOf(message.demands),
    counts: message.counts,
    stopped: message.stopped,
    blames: message.blames,
    releases: releasesOf(message.releases),
  };
}

function toMessage(report: HostReport): HostReportMessage {
  const { record, revisions } = report;
  return create(HostReportSchema, {
    hostId: record.id,
    availabilityZone: record.availabilityZone,
    region: record.region,
    callerAddress: record.callerAddress,
    peerAddress: record.peerAddress,
    startedMs: record.startedMs,
    sequence: record.sequence,
    state: record.state,
    revisions: revisionsToMessage(revisions),
    demands: demandsToMessage(report.demands),
    counts: report.counts.map((count) => ({ ...count })),
    stopped: report.stopped.map((stopped) => ({ ...stopped })),
    blames: report.blames.map((blame) => ({ ...blame })),
    releases: releasesToMessage(report.releases),
    store: storeToMessage(report.store),
  });
}

function revisionsToMessage(revisions: ReadonlyMap<Kind, number>) {
  return [...revisions].map(([kind, changedRevision]) => ({
    kind,
    changedRevision,
  }));
}

function revisionsOf(
  revisions: readonly { kind: string; changedRevision: number }[],
): Map<Kind, number> {
  return new Map(
    revisions.filter(({ kind }) => isKind(kind))
      .map(({ kind, changedRevision }) => [kind as Kind, changedRevision]),
  );
}

function demandsToMessage(demands: ReadonlyMap<string, Demand>) {
  const values = [...demands.values()];
  return {
    organisations: [...demands.keys()],
    perS: values.map(({ requestsPerS }) => requestsPerS),
    admitted: values.map(({ admitted }) => admitted),
  };
}

function demandsOf(message: Demands | undefined): Map<string, Demand> {
  const { organisations = [], perS = [], admitted = [] } = message ?? {};
  return new Map(
    organisations.map((organisation, i) => [
      organisation,
      { requestsPerS: perS[i] ?? 0, admitted: admitted[i] ?? 0 },
    ]),
  );
}

function releasesToMessage(releases: readonly ReleaseProgress[]) {
  return releases.map(({ goodForMs = NEVER, ...release }) => ({
    ...release,
    goodForMs,
  }));
}

function releasesOf(
  releases: readonly (ReleaseProgress & { goodForMs: number })[],
): ReleaseProgress[] {
  return releases.map(({ goodForMs, service, version, seenForMs }) => ({
    service,
    version,
    seenForMs,
    goodForMs: goodForMs === NEVER ? undefined : goodForMs,
  }));
}

function storeToMessage(store: StoreReport) {
  return {
    watches: store.watches,
    isFailing: store.isFailing,
    ageMs: finiteOr(NEVER, store.ageMs),
    sinceReturnMs: finiteOr(NEVER, store.sinceReturnMs),
  };
}

function fromMessage(message: HostReportMessage): HostReport {
  return {
    record: {
      id: message.hostId,
      availabilityZone: message.availabilityZone,
      region: message.region,
      callerAddress: message.callerAddress,
      peerAddress: message.peerAddress,
      startedMs: message.startedMs,
      sequence: message.sequence,
      state: stateOf(message.state),
    },
    revisions: revisionsOf(message.revisions),
    demands: demandsOf(message.demands),
    counts: message.counts,
    stopped: message.stopped,
    blames: message.blames,
    releases: releasesOf(message.releases),
    store: storeOf(message.store),
  };
}

function storeOf(message: StoreReportMessage | undefined): StoreReport {
  const time = (ms: number | undefined) =>
    ms === undefined || ms === NEVER ? Infinity : ms;
  return {
    watches: message?.watches ?? false,
    isFailing: message?.isFailing ?? false,
    ageMs: time(message?.ageMs),
    sinceReturnMs: time(message?.sinceReturnMs),
  };
}

function stateOf(name: string): HostState {
  return STATES.find((state) => state === name) ?? "starting";
}

function finiteOr(fallback: number, value: number): number {
  return Number.isFinite(value) ? value : fallback;
}
