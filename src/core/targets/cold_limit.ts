/**
 * Limit of requests to a cold target that holds over all hosts without a
 * message: few hosts may send at all, each of them its part of the rate.
 *
 * @module
 */
import { hash32, mix32 } from "../hash32.ts";
import {
  createBucket,
  resize,
  takeToken,
  type TokenBucket,
} from "../limits/token_bucket.ts";

/**
 * Part of the tolerated rate that is used. The rest covers hosts whose views
 * of the fleet differ while hosts come and go.
 */
const USED_PART = 0.7;
/** Tokens that a sender may save, so it sends at most one more in a second. */
const CAPACITY = 1;

/** What decides which hosts may send to a cold target. */
export interface ColdSenders {
  readonly selfId: string;
  /** Identifiers of all hosts that take requests, this one included. */
  readonly hostIds: readonly string[];
}

/**
 * Returns the rate at which this host may send to a cold target, in requests
 * a second; 0 when other hosts do.
 *
 * @param ratePerS Rate that the target tolerates from all hosts.
 */
export function ownColdRatePerS(
  targetId: string,
  ratePerS: number,
  { selfId, hostIds }: ColdSenders,
): number {
  const usedPerS = ratePerS * USED_PART;
  const senders = Math.max(1, Math.floor(usedPerS / (1 + CAPACITY)));
  if (hostIds.length <= senders) {
    return usedPerS / Math.max(1, hostIds.length);
  }
  const targetHash = hash32(targetId);
  const own = mix32(targetHash, hash32(selfId));
  let before = 0;
  for (const hostId of hostIds) {
    if (hostId === selfId) continue;
    if (mix32(targetHash, hash32(hostId)) > own) before += 1;
  }
  return before < senders ? usedPerS / senders : 0;
}

/** Own part of the rate of one cold target. */
export class ColdLimit {
  #bucket: TokenBucket;

  constructor(nowMs: number) {
    this.#bucket = createBucket({ ratePerS: 0, capacity: CAPACITY }, nowMs);
  }

  /** Whether a request may be sent now, at a rate that may have changed. */
  hasToken(ratePerS: number, nowMs: number): boolean {
    resize(this.#bucket, { ratePerS, capacity: CAPACITY }, nowMs);
    return this.#bucket.tokens >= 1;
  }

  /** Counts a request. */
  take(nowMs: number): void {
    takeToken(this.#bucket, nowMs);
  }
}
