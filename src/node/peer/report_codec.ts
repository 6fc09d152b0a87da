/**
 * Encoding of host reports into datagrams.
 *
 * @module
 */
import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import type { HostReport } from "../../core/membership/report.ts";
import type { HostState } from "../../core/membership/types.ts";
import { type Kind, KINDS } from "../../core/store/types.ts";
import {
  type HostReport as HostReportMessage,
  HostReportSchema,
  ReportDatagramSchema,
} from "../../gen/cranberryhoist/v1/peer_pb.ts";

const STATES: readonly HostState[] = ["starting", "ready", "leaving"];

/** Encodes reports for one datagram. */
export function encodeReports(reports: readonly HostReport[]): Uint8Array {
  return toBinary(
    ReportDatagramSchema,
    create(ReportDatagramSchema, { reports: reports.map(toMessage) }),
  );
}

/** Decodes a datagram; throws when it can't be read. */
export function decodeReports(bytes: Uint8Array): HostReport[] {
  return fromBinary(ReportDatagramSchema, bytes).reports.map(fromMessage);
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
  };
}

function stateOf(name: string): HostState {
  return STATES.find((state) => state === name) ?? "starting";
}

/** Whether a name is a kind that this version knows. */
export function isKind(name: string): name is Kind {
  return (KINDS as readonly string[]).includes(name);
}
