/**
 * Limit that a target states on the requests that it accepts per second from
 * all hosts together.
 *
 * Few hosts may send to the target, each at its share of the limit. Hosts learn
 * of the limit, and of its end, from the target's responses to them and from
 * the reports of other hosts.
 *
 * @module
 */
import { mix32 } from "../hash32.ts";
import {
  createBucket,
  resize,
  takeToken,
  timeToNextTokenMs,
} from "../limits/token_bucket.ts";
import { computeRateShare, type SenderCandidates } from "./rate_share.ts";

/**
 * Requests that a sender can accumulate. With at least MIN_SENDER_RATE_PER_S
 * for each sender, the hosts together exceed the limit in any second by at most
 * the limit itself.
 */
const CAPACITY = 1;
/** Smallest share of a sender, unless the limit itself is lower. */
const MIN_SENDER_RATE_PER_S = 1;
/**
 * Rate at which a target with a lower limit is used. Without requests, hosts
 * would not learn of the end of its limit.
 */
const MIN_RATE_PER_S = 0.25;
/**
 * Age of the last response above which other hosts become senders, and time
 * until the next ones do. The chosen ones may have no requests for the target.
 */
const TURN_MS = 5_000;
/** Time for which the end of a limit is reported to the other hosts. */
const END_REPORT_MS = 10_000;

/** What a target stated in its newest known response. */
export interface LimitStatement {
  /** Requests per second from all hosts together; `undefined` if unlimited. */
  readonly limitPerS: number | undefined;
  /** Time since the response. */
  readonly ageMs: number;
}

/** The limit that one target states, as known to this host. */
export class StatedLimit {
  readonly #bucket = createBucket({ tokensPerS: 0, capacity: CAPACITY }, 0);
  #limitPerS: number | undefined;
  /** Time of the newest response; -Infinity before the first one. */
  #respondedMs = -Infinity;
  /** Whether the newest response was one to this host. */
  #isOwn = false;
  /** Time at which a response to this host ended a limit. */
  #endedMs = -Infinity;

  /** Requests per second from all hosts together; `undefined` if unlimited. */
  get limitPerS(): number | undefined {
    return this.#limitPerS;
  }

  /**
   * Records the limit in a response to this host. A response without a limit
   * ends it.
   */
  recordResponse(limitPerS: number | undefined, nowMs: number): void {
    if (limitPerS === undefined && this.#limitPerS !== undefined) {
      this.#endedMs = nowMs;
    }
    this.#set(limitPerS, nowMs, { respondedMs: nowMs });
    this.#isOwn = true;
  }

  /** Records a statement that another host reports; an older one is ignored. */
  recordReport({ limitPerS, ageMs }: LimitStatement, nowMs: number): void {
    const respondedMs = nowMs - ageMs;
    if (respondedMs <= this.#respondedMs) return;
    this.#set(limitPerS, nowMs, { respondedMs });
    this.#isOwn = false;
  }

  /**
   * Returns the statement that this host reports to the others: a limit, or for
   * some time its end, in a response to this host.
   *
   * @param options `includesReported`: also returns a limit that another host
   * has reported, as that host may have lost its memory. Default: false.
   */
  createReport(
    nowMs: number,
    { includesReported = false }: { includesReported?: boolean } = {},
  ): LimitStatement | undefined {
    const isReported = this.#limitPerS !== undefined
      ? this.#isOwn || includesReported
      : this.#isOwn && nowMs - this.#endedMs < END_REPORT_MS;
    return isReported
      ? { limitPerS: this.#limitPerS, ageMs: nowMs - this.#respondedMs }
      : undefined;
  }

  /**
   * Returns the time until this host may send a request, in milliseconds; 0 if
   * it may now, and Infinity while only other hosts may.
   *
   * @param targetHash Hash of the target's identifier.
   */
  delayMs(
    targetHash: number,
    candidates: SenderCandidates,
    nowMs: number,
  ): number {
    if (this.#limitPerS === undefined) return 0;
    const ratePerS = Math.max(MIN_RATE_PER_S, this.#limitPerS);
    const turn = Math.floor((nowMs - this.#respondedMs) / TURN_MS);
    const tokensPerS = computeRateShare(
      turn <= 0 ? targetHash : mix32(targetHash, turn),
      {
        ratePerS,
        senderCount: Math.max(1, Math.floor(ratePerS / MIN_SENDER_RATE_PER_S)),
      },
      candidates,
    );
    resize(this.#bucket, { tokensPerS, capacity: CAPACITY }, nowMs);
    return tokensPerS === 0 ? Infinity : timeToNextTokenMs(this.#bucket);
  }

  /** Counts a request that is sent. */
  takeToken(nowMs: number): void {
    if (this.#limitPerS !== undefined) takeToken(this.#bucket, nowMs);
  }

  #set(
    limitPerS: number | undefined,
    nowMs: number,
    { respondedMs }: { respondedMs: number },
  ): void {
    if (this.#limitPerS === undefined && limitPerS !== undefined) {
      // Starts empty, as requests were sent without a limit until now.
      Object.assign(this.#bucket, { tokens: 0, updatedMs: nowMs });
    }
    this.#limitPerS = limitPerS;
    this.#respondedMs = respondedMs;
  }
}
