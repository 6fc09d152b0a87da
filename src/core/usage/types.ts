/**
 * Types of the usage reports: how many requests of each organisation targets
 * began to run in each window of the wall clock.
 *
 * @module
 */

/** Requests that targets began to run, by organisation id, in one window. */
export interface WindowUsage {
  /**
   * Number of the window: window k begins k times the window's length after the
   * start of 1970.
   */
  readonly windowNumber: number;
  readonly requestsByOrganisation: ReadonlyMap<string, number>;
}

/** Counts of one process of a host; a later one of the process replaces it. */
export interface ProcessUsage {
  readonly hostId: string;
  /** Unix time of the start of the process in milliseconds. */
  readonly startedMs: number;
  /** Grows with each report of the process. */
  readonly sequence: number;
  /** Windows whose counts may still be needed, oldest first. */
  readonly windows: readonly WindowUsage[];
}

/** Right to report, which one host holds at a time. */
export interface DutyHolder {
  readonly hostId: string;
  /** Unix time of the start of the holder's process in milliseconds. */
  readonly startedMs: number;
  /** Fencing token; grows with each change of the holder. */
  readonly token: number;
}

/** The holder and its progress, as hosts tell each other. */
export interface DutyProgress extends DutyHolder {
  /** Last window whose counts are fixed. */
  readonly fixedWindow: number;
  /** Last window whose report the platform has confirmed; -1 if none. */
  readonly confirmedWindow: number;
  /** Whether it has given the duty up, as it does not reach the store. */
  readonly isReleased: boolean;
}

/** What hosts tell each other about the usage. */
export interface UsageReport {
  /** Unix time of the sender's clock in milliseconds. */
  readonly clockMs: number;
  /**
   * Encoded list of `ProcessUsage`. Few hosts need the counts, so the others
   * keep them as they are.
   */
  readonly counts: Uint8Array;
  /** Holder with the highest token that the sender knows. */
  readonly holder: DutyProgress | undefined;
}

/** A window whose counts never change again. */
export interface FixedWindow extends WindowUsage {
  /** Id of the host that fixed them. */
  readonly fixedBy: string;
}

/** Content of the store's object of the duty. */
export interface DutyRecord {
  readonly holder: DutyHolder;
  /** Last window whose counts were fixed. */
  readonly fixedWindow: number;
  /** Last window of which the platform has confirmed the report; -1 if none. */
  readonly confirmedWindow: number;
  /**
   * Fixed windows that are not known to be confirmed, oldest first. They are
   * written before the first send, so that all holders send the same counts.
   */
  readonly unconfirmed: readonly FixedWindow[];
}

/** How a call of the usage interface ended. */
export type UsageCallEnd =
  | "accepted"
  /** A holder with a higher token has called. */
  | "fenced"
  /** The call was not executed and may be repeated later. */
  | "refused"
  /** No response arrived; the call may be executed later. */
  | "unanswered";

/**
 * Sends one report; never rejects. Asks `maySend` just before it writes to the
 * connection; if that returns false, nothing is sent and it ends as `refused`.
 */
export type SendUsage = (
  usage: WindowUsage,
  holder: DutyHolder,
  maySend: () => boolean,
) => Promise<UsageCallEnd>;

/** Bounds of the usage reports. */
export interface UsageBounds {
  /** Length of a window. */
  readonly windowMs: number;
  /** Time after the end of a window by which its report is due. */
  readonly lateMs: number;
  /** Time within which holders must not alternate. */
  readonly leaseMs: number;
  /** Whether the platform refuses calls with a lower token. */
  readonly requiresFence: boolean;
}

/** The store's object of the duty; the record is absent before the first. */
export interface StoredDuty {
  readonly record: DutyRecord | undefined;
  readonly revision: number | undefined;
}

/** What a decision is based on, besides the state. */
export interface DutyContext {
  /** Common wall clock of the hosts. */
  readonly clockMs: number;
  /** Whether this host serves; one that leaves gives the duty up. */
  readonly isReady: boolean;
  /** Whether this host is the one to take over when the holder is gone. */
  readonly isCandidate: () => boolean;
  /** Whether it hears of more than half of the hosts. */
  readonly hasQuorum: () => boolean;
  /** Whether a call to the store is in flight; there is one at a time. */
  readonly isStoreBusy: boolean;
  /** Whether the rate of calls allows one more report. */
  readonly maySend: boolean;
  /** Whether other hosts reach the store. */
  readonly isStoreReached: () => boolean;
  /** Time since a holder was last heard of; Infinity if its process ended. */
  readonly silenceMs: (holder: DutyHolder) => number;
  /** Adds up the counts of a window. */
  readonly sumWindow: (windowNumber: number) => WindowUsage;
}

/** What the holder or a would-be holder does next. */
export type DutyAction =
  | { readonly type: "read" }
  | { readonly type: "write"; readonly stored: StoredDuty }
  | {
    readonly type: "send";
    readonly usage: FixedWindow;
    readonly holder: DutyHolder;
  };

/** A change that operators learn of. */
export type DutyNotice =
  | { readonly type: "taken"; readonly token: number }
  | { readonly type: "lost"; readonly token: number; readonly reason: string }
  | { readonly type: "missed"; readonly windowNumber: number }
  | {
    readonly type: "reported";
    readonly windowNumber: number;
    /** Id of the host that fixed the counts. */
    readonly fixedBy: string;
    /** Time after the end of the window. */
    readonly ageMs: number;
  };
