/**
 * Converts reports between hosts to and from datagrams.
 *
 * @module
 */
import type { MessageInitShape } from "@bufbuild/protobuf";
import type { Demand } from "../../core/limits/demand_reports.ts";
import type { HostReport } from "../../core/membership/report.ts";
import type { HostState } from "../../core/membership/types.ts";
import type { ZoneSummary } from "../../core/membership/zone_summary.ts";
import type { ReleaseProgress } from "../../core/release/types.ts";
import type { StorePosition } from "../../core/store/position.ts";
import type { StoreReport } from "../../core/store/store_availability.ts";
import type { KindDelta, ObjectKind } from "../../core/store/types.ts";
import type { ViewConfirmation } from "../../core/store/view_freshness.ts";
import type { TargetLimit } from "../../core/targets/limit_reports.ts";
import type { TargetObservation } from "../../core/targets/target_observation.ts";
import {
  type Demands,
  type HostReport as HostReportMessage,
  type HostReportSchema,
  PeerDatagramSchema,
  type StoreReport as StoreReportMessage,
  type TargetLimit as TargetLimitMessage,
  type TargetObservations,
  type ViewConfirmation as ViewConfirmationMessage,
  type ZoneSummary as ZoneSummaryMessage,
  ZoneSummarySchema,
} from "../../gen/cranberryhoist/v1/peer_pb.ts";
import { usageFromMessage, usageToMessage } from "./usage_codec.ts";
import {
  deltaFromMessage,
  deltaToMessage,
  isObjectKind,
} from "./delta_codec.ts";
import { decodeMessage, encodeMessage } from "./message_codec.ts";

const HOST_STATES: readonly HostState[] = ["starting", "ready", "leaving"];
/** Encodes a time or duration without a value. */
const NO_VALUE = -1;

/** Changes of the store that a watching host forwards to the others. */
export interface PushedDelta {
  readonly kind: ObjectKind;
  /**
   * Revision that the receiver must have reached, in the epoch of the delta;
   * otherwise changes would be missing between its replica and the delta.
   */
  readonly baseRevision: number;
  readonly delta: KindDelta;
  /** Whether the receiver forwards it to the hosts of its own zone. */
  readonly forZone?: boolean;
}

/** Encoded summary of a zone, with the fields that order two of them. */
export interface ZoneReport {
  readonly availabilityZone: string;
  /** Id of the host that created the summary. */
  readonly authorId: string;
  /** Unix time of the start of the author's process in milliseconds. */
  readonly startedMs: number;
  /** Number of the zone report, which grows within the author's process. */
  readonly sequence: number;
  /** Encoded `ZoneSummary`. */
  readonly summary: Uint8Array;
}

/** Content of a datagram between hosts. */
export interface PeerDatagram {
  readonly reports: readonly HostReport[];
  readonly pushedDeltas: readonly PushedDelta[];
  readonly zoneReports: readonly ZoneReport[];
}

/** Encodes a datagram. Lists that are left out are empty. */
export function encodeDatagram(datagram: Partial<PeerDatagram>): Uint8Array {
  const { reports = [], pushedDeltas = [], zoneReports = [] } = datagram;
  return encodeMessage(PeerDatagramSchema, {
    reports: reports.map(reportToMessage),
    pushed: pushedDeltas.map((
      { kind, baseRevision, delta, forZone = false },
    ) => ({
      baseRevision,
      delta: deltaToMessage(kind, delta),
      forZone,
    })),
    zones: zoneReports.map((zoneReport) => ({ ...zoneReport })),
  });
}

/**
 * Decodes a datagram.
 *
 * @throws When the bytes are no valid datagram.
 */
export function decodeDatagram(bytes: Uint8Array): PeerDatagram {
  const { reports, pushed, zones } = decodeMessage(PeerDatagramSchema, bytes);
  return {
    reports: reports.map(reportFromMessage),
    pushedDeltas: pushed.flatMap(({ baseRevision, delta, forZone }) => {
      const decoded = delta && deltaFromMessage(delta);
      return decoded === undefined
        ? []
        : [{ ...decoded, baseRevision, forZone }];
    }),
    zoneReports: zones,
  };
}

/** Encodes a summary for `ZoneReport.summary`. */
export function encodeZoneSummary(summary: ZoneSummary): Uint8Array {
  const { hosts } = summary;
  return encodeMessage(ZoneSummarySchema, {
    region: hosts[0]?.record.region ?? "",
    hosts: hosts.map(({ record, store }) => ({
      hostId: record.id,
      callerAddress: record.callerAddress,
      peerAddress: record.peerAddress,
      startedMs: record.startedMs,
      sequence: record.sequence,
      state: record.state,
      lacksTargetPath: !record.hasTargetPath,
      build: record.build,
      missedReports: record.hasMissedReports,
      store: store && storeReportToMessage(store),
    })),
    ...sharedPartToMessage(summary),
  });
}

/**
 * Decodes the summary of a zone report.
 *
 * @throws When the bytes are no valid summary.
 */
export function decodeZoneSummary(
  { availabilityZone, authorId, summary }: ZoneReport,
): ZoneSummary {
  const message = decodeMessage(ZoneSummarySchema, summary);
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
        state: parseHostState(host.state),
        hasTargetPath: !host.lacksTargetPath,
        build: host.build,
        hasMissedReports: host.missedReports,
      },
      store: host.store && storeReportFromMessage(host.store),
    })),
    ...sharedPartFromMessage(message),
  };
}

function reportToMessage(
  report: HostReport,
): MessageInitShape<typeof HostReportSchema> {
  const { record } = report;
  return {
    hostId: record.id,
    availabilityZone: record.availabilityZone,
    region: record.region,
    callerAddress: record.callerAddress,
    peerAddress: record.peerAddress,
    startedMs: record.startedMs,
    sequence: record.sequence,
    state: record.state,
    lacksTargetPath: !record.hasTargetPath,
    build: record.build,
    missedReports: record.hasMissedReports,
    store: storeReportToMessage(report.store),
    ...sharedPartToMessage(report),
  };
}

/** Converts what a host reports alike of itself and of its zone. */
function sharedPartToMessage(part: HostReport | ZoneSummary) {
  return {
    revisions: positionsToMessage(part.positions),
    documentVersion: part.documentVersion,
    demands: demandsToMessage(part.demands),
    counts: part.counts.map((count) => ({ ...count })),
    stopped: part.stopped.map((stopped) => ({ ...stopped })),
    blames: part.crashReports.map((crash) => ({ ...crash })),
    remembered: part.rememberedCrashes.map((crash) => ({ ...crash })),
    releases: releasesToMessage(part.releases),
    limits: limitsToMessage(part.limits),
    observations: observationsToMessage(part.observations),
    leaving: part.leavingTargets.map((instance) => ({ ...instance })),
    usage: usageToMessage(part.usage),
  };
}

function sharedPartFromMessage(
  message: HostReportMessage | ZoneSummaryMessage,
) {
  return {
    positions: positionsFromMessage(message.revisions),
    documentVersion: message.documentVersion,
    demands: demandsFromMessage(message.demands),
    counts: message.counts,
    stopped: message.stopped,
    crashReports: message.blames,
    rememberedCrashes: message.remembered,
    releases: releasesFromMessage(message.releases),
    limits: limitsFromMessage(message.limits),
    observations: observationsFromMessage(message.observations),
    leavingTargets: message.leaving,
    usage: usageFromMessage(message.usage),
  };
}

function positionsToMessage(positions: ReadonlyMap<ObjectKind, StorePosition>) {
  return [...positions].map(([kind, { epoch, revision }]) => ({
    kind,
    epoch,
    changedRevision: revision,
  }));
}

function positionsFromMessage(
  messages: readonly { kind: string; epoch: number; changedRevision: number }[],
): Map<ObjectKind, StorePosition> {
  const positions = new Map<ObjectKind, StorePosition>();
  for (const { kind, epoch, changedRevision: revision } of messages) {
    if (isObjectKind(kind)) positions.set(kind, { epoch, revision });
  }
  return positions;
}

function limitsToMessage(limits: readonly TargetLimit[]) {
  return limits.map(({ limitPerS = NO_VALUE, ...limit }) => ({
    ...limit,
    limitPerS,
  }));
}

function limitsFromMessage(
  limits: readonly TargetLimitMessage[],
): TargetLimit[] {
  return limits.map(({ targetId, startedMs, limitPerS, ageMs }) => ({
    targetId,
    startedMs,
    limitPerS: limitPerS === NO_VALUE ? undefined : limitPerS,
    ageMs,
  }));
}

/** Returns no message without observations, which then take no bytes. */
function observationsToMessage(observations: readonly TargetObservation[]) {
  if (observations.length === 0) return undefined;
  return {
    targets: observations.map(({ targetHash }) => targetHash),
    running: observations.map(({ running }) => running),
    waiting: observations.map(({ waiting }) => waiting),
    pacePercent: observations.map(({ pacePercent }) => pacePercent),
    ageMs: observations.map(({ ageMs }) => Math.max(0, Math.round(ageMs))),
  };
}

function observationsFromMessage(
  message: TargetObservations | undefined,
): TargetObservation[] {
  if (message === undefined) return [];
  const { targets, running, waiting, pacePercent, ageMs } = message;
  return targets.map((targetHash, i) => ({
    targetHash,
    running: running[i] ?? 0,
    waiting: waiting[i] ?? 0,
    pacePercent: pacePercent[i] ?? 0,
    // Without its age, an observation counts as too old.
    ageMs: ageMs[i] ?? Infinity,
  }));
}

function demandsToMessage(demands: ReadonlyMap<string, Demand>) {
  const values = [...demands.values()];
  return {
    organisations: [...demands.keys()],
    perS: values.map(({ requestsPerS }) => requestsPerS),
    admitted: values.map(({ admitted }) => admitted),
    // Absent in the reports of single hosts, which have none.
    reserved: values.some(({ reservedFraction }) => reservedFraction)
      ? values.map(({ reservedFraction = 0 }) => reservedFraction)
      : [],
  };
}

function demandsFromMessage(message: Demands | undefined): Map<string, Demand> {
  const { organisations = [], perS = [], admitted = [], reserved = [] } =
    message ?? {};
  return new Map(
    organisations.map((organisation, i) => [organisation, {
      requestsPerS: perS[i] ?? 0,
      admitted: admitted[i] ?? 0,
      reservedFraction: reserved[i],
    }]),
  );
}

function releasesToMessage(releases: readonly ReleaseProgress[]) {
  return releases.map(({ goodForMs = NO_VALUE, ...release }) => ({
    ...release,
    goodForMs,
  }));
}

function releasesFromMessage(
  releases: readonly (ReleaseProgress & { goodForMs: number })[],
): ReleaseProgress[] {
  return releases.map(({ goodForMs, service, version, seenForMs }) => ({
    service,
    version,
    seenForMs,
    goodForMs: goodForMs === NO_VALUE ? undefined : goodForMs,
  }));
}

function storeReportToMessage(store: StoreReport) {
  return {
    watches: store.watches,
    isFailing: store.isFailing,
    ageMs: finiteOrDefault(NO_VALUE, store.ageMs),
    sinceReturnMs: finiteOrDefault(NO_VALUE, store.sinceReturnMs),
    confirmations: store.confirmations.map(
      ({ kind, changedPosition, position, ageMs }) => ({
        kind,
        changedRevision: changedPosition.revision,
        revision: position.revision,
        epoch: position.epoch,
        ageMs,
      }),
    ),
  };
}

function reportFromMessage(message: HostReportMessage): HostReport {
  return {
    record: {
      id: message.hostId,
      availabilityZone: message.availabilityZone,
      region: message.region,
      callerAddress: message.callerAddress,
      peerAddress: message.peerAddress,
      startedMs: message.startedMs,
      sequence: message.sequence,
      state: parseHostState(message.state),
      hasTargetPath: !message.lacksTargetPath,
      build: message.build,
      hasMissedReports: message.missedReports,
    },
    ...sharedPartFromMessage(message),
    store: storeReportFromMessage(message.store),
  };
}

function storeReportFromMessage(
  message: StoreReportMessage | undefined,
): StoreReport {
  const durationFromMessage = (ms: number | undefined) =>
    ms === undefined || ms === NO_VALUE ? Infinity : ms;
  return {
    watches: message?.watches ?? false,
    isFailing: message?.isFailing ?? false,
    ageMs: durationFromMessage(message?.ageMs),
    sinceReturnMs: durationFromMessage(message?.sinceReturnMs),
    confirmations: message?.confirmations.flatMap(confirmationFromMessage) ??
      [],
  };
}

/** Returns nothing for a kind that this build does not know. */
function confirmationFromMessage(
  { kind, changedRevision, revision, epoch, ageMs }: ViewConfirmationMessage,
): ViewConfirmation[] {
  if (!isObjectKind(kind)) return [];
  return [{
    kind,
    changedPosition: { epoch, revision: changedRevision },
    position: { epoch, revision },
    ageMs,
  }];
}

function parseHostState(name: string): HostState {
  return HOST_STATES.find((state) => state === name) ?? "starting";
}

function finiteOrDefault(fallback: number, value: number): number {
  return Number.isFinite(value) ? value : fallback;
}
