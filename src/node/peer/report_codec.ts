/**
 * Encoding of datagrams between hosts.
 *
 * @module
 */
import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import type { HostReport } from "../../core/membership/report.ts";
import type { HostState } from "../../core/membership/types.ts";
import type { StoreReport } from "../../core/store/store_outlook.ts";
import type { Kind, KindDelta } from "../../core/store/types.ts";
import {
  type HostReport as HostReportMessage,
  HostReportSchema,
  PeerDatagramSchema,
  type StoreReport as StoreReportMessage,
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
}

/** What a datagram carries. */
export interface PeerDatagram {
  readonly reports: readonly HostReport[];
  readonly pushed: readonly PushedDelta[];
}

/** Encodes a datagram. */
export function encodeDatagram(datagram: Partial<PeerDatagram>): Uint8Array {
  const { reports = [], pushed = [] } = datagram;
  return toBinary(
    PeerDatagramSchema,
    create(PeerDatagramSchema, {
      reports: reports.map(toMessage),
      pushed: pushed.map(({ kind, baseRevision, delta }) => ({
        baseRevision,
        delta: deltaToMessage(kind, delta),
      })),
    }),
  );
}

/** Decodes a datagram; throws when it can't be read. */
export function decodeDatagram(bytes: Uint8Array): PeerDatagram {
  const { reports, pushed } = fromBinary(PeerDatagramSchema, bytes);
  return {
    reports: reports.map(fromMessage),
    pushed: pushed.flatMap(({ baseRevision, delta }) => {
      const decoded = delta && deltaFromMessage(delta);
      return decoded === undefined ? [] : [{ ...decoded, baseRevision }];
    }),
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
    revisions: [...revisions].map(([kind, changedRevision]) => ({
      kind,
      changedRevision,
    })),
    demands: [...report.demands].map(([organisation, demand]) => ({
      organisation,
      ...demand,
    })),
    counts: report.counts.map((count) => ({ ...count })),
    stopped: report.stopped.map((stopped) => ({ ...stopped })),
    blames: report.blames.map((blame) => ({ ...blame })),
    releases: report.releases.map(({ goodForMs = NEVER, ...release }) => ({
      ...release,
      goodForMs,
    })),
    store: {
      watches: report.store.watches,
      isFailing: report.store.isFailing,
      ageMs: finiteOr(NEVER, report.store.ageMs),
      sinceReturnMs: finiteOr(NEVER, report.store.sinceReturnMs),
    },
  });
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
    revisions: new Map(
      message.revisions.filter(({ kind }) => isKind(kind))
        .map(({ kind, changedRevision }) => [kind as Kind, changedRevision]),
    ),
    demands: new Map(
      message.demands.map(({ organisation, perS, admitted }) => [
        organisation,
        { perS, admitted },
      ]),
    ),
    counts: message.counts,
    stopped: message.stopped,
    blames: message.blames,
    releases: message.releases.map(({ goodForMs, ...release }) => ({
      ...release,
      goodForMs: goodForMs === NEVER ? undefined : goodForMs,
    })),
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
