/**
 * Converts usage reports to and from messages between hosts.
 *
 * @module
 */
import type { ProcessUsage, UsageReport } from "../../core/usage/types.ts";
import {
  UsageCountsSchema,
  type UsageReport as UsageReportMessage,
} from "../../gen/cranberryhoist/v1/peer_pb.ts";
import { decodeMessage, encodeMessage } from "./message_codec.ts";

/** Converts a usage report to a message. */
export function usageToMessage(report: UsageReport | undefined) {
  if (report === undefined) return undefined;
  return { ...report, holder: report.holder && { ...report.holder } };
}

/** Converts a message to a usage report. */
export function usageFromMessage(
  message: UsageReportMessage | undefined,
): UsageReport | undefined {
  if (message === undefined) return undefined;
  const { clockMs, counts, holder } = message;
  return {
    clockMs,
    counts,
    holder: holder && {
      hostId: holder.hostId,
      startedMs: holder.startedMs,
      token: holder.token,
      fixedWindow: holder.fixedWindow,
      confirmedWindow: holder.confirmedWindow,
      isReleased: holder.isReleased,
    },
  };
}

/** Encodes counts for `UsageReport.counts`. */
export function encodeUsageCounts(
  processes: readonly ProcessUsage[],
): Uint8Array {
  const indexes = new Map<string, number>();
  const indexOf = (organisationId: string) => {
    const index = indexes.get(organisationId) ?? indexes.size;
    indexes.set(organisationId, index);
    return index;
  };
  const messages = processes.map(({ windows, ...process }) => ({
    ...process,
    windows: windows.map(({ windowNumber, requestsByOrganisation }) => ({
      number: windowNumber,
      organisations: [...requestsByOrganisation.keys()].map(indexOf),
      requests: [...requestsByOrganisation.values()],
    })),
  }));
  return encodeMessage(UsageCountsSchema, {
    organisations: [...indexes.keys()],
    processes: messages,
  });
}

/**
 * Decodes counts.
 *
 * @throws When the bytes are no valid counts.
 */
export function decodeUsageCounts(bytes: Uint8Array): ProcessUsage[] {
  const { organisations, processes } = decodeMessage(UsageCountsSchema, bytes);
  return processes.map(({ hostId, startedMs, sequence, windows }) => ({
    hostId,
    startedMs,
    sequence,
    windows: windows.map((window) => ({
      windowNumber: window.number,
      requestsByOrganisation: new Map(
        window.organisations.flatMap((index, i) => {
          const id = organisations[index];
          return id === undefined ? [] : [[id, window.requests[i] ?? 0]];
        }),
      ),
    })),
  }));
}
