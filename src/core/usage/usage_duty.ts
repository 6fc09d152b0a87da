/**
 * Decides which host reports the usage, and what it does next.
 *
 * One object of the store holds the holder of the duty, its fencing token and
 * the counts that are fixed and not yet confirmed. Whoever takes the duty over,
 * or fixes counts, replaces the object at the revision that it has read, so only
 * one host can. Counts are written there before they are sent for the first
 * time, and sent exactly as written, by this holder or a later one.
 *
 * @module
 */
import { FAILURE_TIMEOUT_MS } from "../membership/membership.ts";
import { findDueWindows, MAX_UNCONFIRMED } from "./due_windows.ts";
import { createTakeoverRecord } from "./duty_record.ts";
import { ResendTimes } from "./resend_times.ts";
import type {
  DutyAction,
  DutyContext,
  DutyHolder,
  DutyNotice,
  DutyProgress,
  FixedWindow,
  StoredDuty,
  UsageBounds,
  UsageCallEnd,
} from "./types.ts";

/** Delay before a call to the store is repeated. */
const STORE_RETRY_MS = 500;
/** Time without the store after which the duty is left to another host. */
const STORE_LOSS_MS = 1_200;
/** Age up to which a read is current enough for a takeover. */
const MAX_READ_AGE_MS = 1_000;
/** Time after a start or a pause until the other hosts have reported again. */
const MIN_LISTENING_MS = 1_000;
/**
 * Step of the token after the platform has refused one that the store holds,
 * which happens when the store has lost higher ones.
 */
const FENCED_STEP = 1_024;

type SendAction = Extract<DutyAction, { type: "send" }>;

/** State of the duty on one host. */
export class UsageDuty {
  readonly #self: { hostId: string; startedMs: number };
  readonly #bounds: UsageBounds;
  readonly #firstWindow: number;
  /** Start, plus the time for which this process was paused. */
  #listeningMs: number;
  /** End of the last pause, or the start. */
  #resumedMs: number;
  #holder: DutyHolder | undefined;
  #known: DutyProgress | undefined;
  #stored: StoredDuty = { record: undefined, revision: undefined };
  #needsRead = false;
  #readMs = -Infinity;
  /** Start of the last call that showed this host to be the holder. */
  #verifiedMs = -Infinity;
  #storeRetryMs = -Infinity;
  /** Time from which reports are sent. */
  #sendsFromMs = -Infinity;
  /** Highest token that this process uses no more. */
  #endedToken = 0;
  /** Start of the failures of its calls to the store; Infinity without one. */
  #storeFailingMs = Infinity;
  /** Time before which this host does not take the duty back. */
  #retakesFromMs = -Infinity;
  /** Unconfirmed windows of the last record that named this process. */
  #held: readonly FixedWindow[] = [];
  /** Last window that was counted as missed. */
  #missedWindow = -1;
  /** Counts that are to be written; frozen, as a lost write may have executed. */
  readonly #prepared = new Map<number, FixedWindow>();
  readonly #confirmed = new Set<number>();
  readonly #resends = new ResendTimes();
  readonly #notices: DutyNotice[] = [];

  /**
   * @param clockMs Common wall clock. The window that it falls into is the first
   * one to report if there was no holder before.
   */
  constructor(
    self: { hostId: string; startedMs: number },
    bounds: UsageBounds,
    { clockMs, nowMs }: { clockMs: number; nowMs: number },
  ) {
    this.#self = self;
    this.#bounds = bounds;
    this.#firstWindow = Math.floor(clockMs / bounds.windowMs);
    this.#listeningMs = nowMs;
    this.#resumedMs = nowMs;
  }

  /** Whether this host holds the duty. */
  get isHolder(): boolean {
    return this.#holder !== undefined;
  }

  /** The holder with the highest token that is known. */
  get progress(): DutyProgress | undefined {
    const { record } = this.#stored;
    if (this.#holder === undefined || record === undefined) return this.#known;
    return {
      ...this.#holder,
      fixedWindow: record.fixedWindow,
      confirmedWindow: Math.max(record.confirmedWindow, ...this.#confirmed),
      isReleased: false,
    };
  }

  /** Returns the changes since the last call. */
  takeNotices(): DutyNotice[] {
    return this.#notices.splice(0);
  }

  /** Records that this process was paused and heard nothing meanwhile. */
  recordPause(pauseMs: number, nowMs: number): void {
    this.#listeningMs += pauseMs;
    this.#resumedMs = nowMs;
  }

  /** Records the holder that another host knows. */
  recordProgress(progress: DutyProgress): void {
    const known = this.#known;
    if (known !== undefined) {
      if (progress.token < known.token) return;
      if (
        progress.token === known.token &&
        progress.fixedWindow < known.fixedWindow
      ) return;
    }
    const isReleased = progress.isReleased ||
      (progress.token === known?.token && known.isReleased);
    this.#known = { ...progress, isReleased };
    if (this.#holder !== undefined && progress.token > this.#holder.token) {
      this.#needsRead = true;
    }
  }

  /** Decides what to do next; `undefined` if there is nothing to do. */
  decide(context: DutyContext, nowMs: number): DutyAction | undefined {
    if (!context.isReady) return undefined;
    const isStoreDue = !context.isStoreBusy && nowMs >= this.#storeRetryMs;
    this.#releaseWithoutStore(context, nowMs);
    if (this.#holder !== undefined) this.#prepareDueWindows(context, nowMs);
    if (isStoreDue) {
      if (this.#needsRead) return { type: "read" };
      if (this.#holder === undefined) {
        return this.#decideTakeover(context, nowMs);
      }
      if (this.#prepared.size > 0) return this.#writeWindows();
    }
    return context.maySend ? this.#decideSend(isStoreDue, nowMs) : undefined;
  }

  /** Gives the duty up if only this host has lost the store. */
  #releaseWithoutStore(
    { isStoreReached }: DutyContext,
    nowMs: number,
  ): void {
    const holder = this.#holder;
    if (holder === undefined) return;
    if (nowMs - this.#storeFailingMs < STORE_LOSS_MS) return;
    if (!isStoreReached()) return;
    this.#endedToken = holder.token;
    this.#lose("store unreachable");
    if (this.#known?.token === holder.token) {
      this.#known = { ...this.#known, isReleased: true };
    }
  }

  #decideTakeover(
    { isCandidate, hasQuorum, silenceMs }: DutyContext,
    nowMs: number,
  ): DutyAction | undefined {
    const { leaseMs } = this.#bounds;
    const known = this.#known;
    // The record of this process was lost, or the platform refuses its token.
    const isOwn = known !== undefined && this.#isSelf(known) &&
      !known.isReleased;
    if (isOwn) {
      if (nowMs < this.#retakesFromMs) return undefined;
    } else {
      // Reports of other zones come late at times; see `FAILURE_TIMEOUT_MS`.
      const minSilenceMs = Math.max(leaseMs, FAILURE_TIMEOUT_MS);
      const isGone = known === undefined || known.isReleased;
      const silentForMs = Math.min(
        nowMs - this.#listeningMs,
        isGone ? Infinity : silenceMs(known),
      );
      if (silentForMs < minSilenceMs || !isCandidate()) return undefined;
      if (silentForMs < 3 * minSilenceMs && !hasQuorum()) return undefined;
    }
    if (nowMs - this.#readMs > MAX_READ_AGE_MS) return { type: "read" };
    const { record, revision } = this.#stored;
    const isRefused = isOwn && known.token === this.#endedToken;
    const taken = createTakeoverRecord(record, {
      known,
      self: this.#self,
      firstWindow: this.#firstWindow,
      // A restored store lacks counts that this process may have sent.
      held: isOwn ? this.#held : [],
      tokenStep: isRefused ? FENCED_STEP : 1,
    });
    return { type: "write", stored: { record: taken, revision } };
  }

  /** Freezes the counts of windows whose counts had time to arrive. */
  #prepareDueWindows(
    { clockMs, hasQuorum, sumWindow }: DutyContext,
    nowMs: number,
  ): void {
    if (nowMs - this.#resumedMs < MIN_LISTENING_MS) return;
    const nextWindow = 1 + Math.max(
      this.#stored.record?.fixedWindow ?? this.#firstWindow - 1,
      this.#missedWindow,
      ...this.#prepared.keys(),
    );
    const { missed, due } = findDueWindows(
      { clockMs, nextWindow, hasQuorum: hasQuorum() },
      this.#bounds,
    );
    for (const number of missed) this.#recordMissed(number);
    const fixedBy = this.#self.hostId;
    for (const number of due) {
      this.#prepared.set(number, { ...sumWindow(number), fixedBy });
    }
    for (const number of this.#prepared.keys()) {
      if (this.#prepared.size <= MAX_UNCONFIRMED) break;
      this.#prepared.delete(number);
      this.#recordMissed(number);
    }
  }

  #recordMissed(windowNumber: number): void {
    this.#missedWindow = windowNumber;
    this.#notices.push({ type: "missed", windowNumber });
  }

  #writeWindows(): DutyAction | undefined {
    const { record, revision } = this.#stored;
    if (record === undefined) return undefined;
    const prepared = [...this.#prepared.values()];
    const unconfirmed = [...record.unconfirmed, ...prepared]
      .filter(({ windowNumber }) => !this.#confirmed.has(windowNumber))
      .slice(-MAX_UNCONFIRMED);
    return {
      type: "write",
      stored: {
        revision,
        record: {
          holder: record.holder,
          fixedWindow: prepared[prepared.length - 1].windowNumber,
          confirmedWindow: Math.max(
            record.confirmedWindow,
            ...this.#confirmed,
          ),
          unconfirmed,
        },
      },
    };
  }

  #decideSend(isStoreDue: boolean, nowMs: number): DutyAction | undefined {
    const holder = this.#holder;
    if (holder === undefined || nowMs < this.#sendsFromMs) return undefined;
    const usage = this.#stored.record?.unconfirmed.find(({ windowNumber }) =>
      !this.#confirmed.has(windowNumber) &&
      this.#resends.isDue(windowNumber, nowMs)
    );
    if (usage === undefined) return undefined;
    const { leaseMs, requiresFence } = this.#bounds;
    // This process may have been paused, or cut off from the others, since.
    if (nowMs - this.#verifiedMs > leaseMs / 2) {
      if (isStoreDue) return { type: "read" };
      // Without the store nobody can take over; the platform checks the fence.
      if (!requiresFence || this.#needsRead) return undefined;
    }
    this.#resends.recordStart(usage.windowNumber);
    return { type: "send", usage, holder };
  }

  /**
   * Whether a report may still be sent: its holder has not lost the duty, and
   * not so much time has passed since the decision that it might have.
   */
  maySend(decidedMs: number, nowMs: number): boolean {
    return this.#holder !== undefined &&
      nowMs - decidedMs < this.#bounds.leaseMs / 4;
  }

  /** Records the store's object. @param startedMs Start of the call. */
  recordRead(stored: StoredDuty, startedMs: number): void {
    this.#needsRead = false;
    this.#storeFailingMs = Infinity;
    this.#readMs = startedMs;
    const holder = stored.record?.holder;
    if (
      holder !== undefined && this.#isSelf(holder) &&
      holder.token > this.#endedToken
    ) return this.#hold(stored, startedMs);
    if (this.#holder !== undefined) {
      const isRestored = (holder?.token ?? 0) < this.#holder.token;
      this.#lose(isRestored ? "store restored" : "taken over");
    }
    this.#stored = stored;
    const { record } = stored;
    if (record === undefined) return;
    const { fixedWindow, confirmedWindow } = record;
    const progress = { fixedWindow, confirmedWindow, isReleased: false };
    this.recordProgress({ ...record.holder, ...progress });
  }

  /** Records that an object was written. @param startedMs Start of the call. */
  recordWritten(stored: StoredDuty, startedMs: number): void {
    this.#storeFailingMs = Infinity;
    this.#hold(stored, startedMs);
  }

  /** Records a call to the store that failed. */
  recordStoreFailure(action: DutyAction, nowMs: number): void {
    // A write without an answer may have executed, or may execute later.
    if (action.type === "write") this.#needsRead = true;
    this.#storeRetryMs = nowMs + STORE_RETRY_MS;
    this.#storeFailingMs = Math.min(this.#storeFailingMs, nowMs);
  }

  /** Records that a write was refused because of its revision. */
  recordConflict(): void {
    this.#needsRead = true;
  }

  /** Records the end of a call that sent a report. */
  recordSent(
    { usage: { windowNumber, fixedBy }, holder }: SendAction,
    end: UsageCallEnd,
    { clockMs, nowMs }: { clockMs: number; nowMs: number },
  ): void {
    if (end === "accepted") {
      this.#confirmed.add(windowNumber);
      this.#resends.clear(windowNumber);
      const ageMs = clockMs - (windowNumber + 1) * this.#bounds.windowMs;
      this.#notices.push({ type: "reported", windowNumber, fixedBy, ageMs });
      return;
    }
    // A call of an earlier token tells nothing about the present one.
    if (this.#holder?.token !== holder.token) return;
    if (end === "fenced") {
      this.#endedToken = this.#holder.token;
      this.#retakesFromMs = nowMs + this.#bounds.leaseMs;
      this.#needsRead = true;
      return this.#lose("fenced");
    }
    this.#resends.recordFailure(windowNumber, nowMs);
  }

  #hold(stored: StoredDuty, startedMs: number): void {
    const { record } = stored;
    if (record === undefined) return;
    if (this.#holder?.token !== record.holder.token) {
      const { token } = record.holder;
      const { requiresFence, leaseMs } = this.#bounds;
      this.#holder = record.holder;
      // The last calls of the holder before have ended by then.
      this.#sendsFromMs = requiresFence ? -Infinity : startedMs + leaseMs;
      this.#notices.push({ type: "taken", token });
    }
    this.#stored = stored;
    this.#held = record.unconfirmed;
    this.#verifiedMs = startedMs;
    for (const number of this.#prepared.keys()) {
      if (number <= record.fixedWindow) this.#prepared.delete(number);
    }
    const unconfirmed = new Set(
      record.unconfirmed.map(({ windowNumber }) => windowNumber),
    );
    for (const number of this.#confirmed) {
      if (!unconfirmed.has(number) && number < record.confirmedWindow) {
        this.#confirmed.delete(number);
      }
    }
  }

  #lose(reason: string): void {
    if (this.#holder === undefined) return;
    this.#notices.push({ type: "lost", token: this.#holder.token, reason });
    const { progress } = this;
    if (progress !== undefined) this.recordProgress(progress);
    this.#holder = undefined;
    this.#prepared.clear();
    this.#resends.clear();
  }

  #isSelf({ hostId, startedMs }: DutyHolder): boolean {
    return hostId === this.#self.hostId && startedMs === this.#self.startedMs;
  }
}
