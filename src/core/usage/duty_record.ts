/**
 * Content of the duty's object in the store: its format, and how a takeover
 * changes it.
 *
 * @module
 */
import * as z from "zod";
import type { DutyProgress, DutyRecord, FixedWindow } from "./types.ts";

const windowNumber = z.number().int();

const dutyRecordSchema = z.object({
  holder: z.object({
    hostId: z.string(),
    startedMs: z.number(),
    token: z.number().int(),
  }),
  fixedWindow: windowNumber,
  confirmedWindow: windowNumber,
  unconfirmed: z.array(z.object({
    windowNumber,
    requests: z.record(z.string(), z.number().int()),
    fixedBy: z.string(),
  })),
});

/** Encodes a record as a value for JSON. */
export function encodeDutyRecord(
  { unconfirmed, ...record }: DutyRecord,
): z.input<typeof dutyRecordSchema> {
  return {
    ...record,
    unconfirmed: unconfirmed.map((
      { requestsByOrganisation, windowNumber, fixedBy },
    ) => ({
      windowNumber,
      requests: Object.fromEntries(requestsByOrganisation),
      fixedBy,
    })),
  };
}

/** Decodes a record; `undefined` if it is invalid. */
export function decodeDutyRecord(value: unknown): DutyRecord | undefined {
  const parsed = dutyRecordSchema.safeParse(value);
  if (!parsed.success) return undefined;
  const { unconfirmed, ...record } = parsed.data;
  return {
    ...record,
    unconfirmed: unconfirmed.map(({ requests, windowNumber, fixedBy }) => ({
      windowNumber,
      requestsByOrganisation: new Map(Object.entries(requests)),
      fixedBy,
    })),
  };
}

/**
 * Returns the record with which a process takes the duty over.
 *
 * @param record Record of the store; `undefined` before the first holder.
 * @param options `known` is the holder that other hosts know, which may be newer
 * than the record of a restored store. `held` are windows that this process has
 * held. `firstWindow` is the first one to report without a holder before.
 */
export function createTakeoverRecord(
  record: DutyRecord | undefined,
  { known, held, self, firstWindow, tokenStep }: {
    known: DutyProgress | undefined;
    held: readonly FixedWindow[];
    self: { hostId: string; startedMs: number };
    firstWindow: number;
    tokenStep: number;
  },
): DutyRecord {
  const lastToken = Math.max(record?.holder.token ?? 0, known?.token ?? 0);
  const unconfirmed = new Map(
    [...(record?.unconfirmed ?? []), ...held]
      .map((window) => [window.windowNumber, window]),
  );
  return {
    holder: { ...self, token: lastToken + tokenStep },
    // Counts that the store has lost may have been sent.
    fixedWindow: Math.max(
      record?.fixedWindow ?? firstWindow - 1,
      known?.fixedWindow ?? -1,
    ),
    confirmedWindow: Math.max(
      record?.confirmedWindow ?? -1,
      known?.confirmedWindow ?? -1,
    ),
    unconfirmed: [...unconfirmed.values()]
      .sort((a, b) => a.windowNumber - b.windowNumber),
  };
}
