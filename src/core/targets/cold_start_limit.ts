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
export interface ColdStartSenders {
  readonly selfHash: number;
  /** Hashes of the other hosts that take requests. */
  readonly otherHashes: readonly number[];
}

/** Prepares the hosts for many targets, as this is asked for each request. */
export function createColdStartSenders(
  selfId: string,
  otherIds: readonly string[],
): ColdStartSenders {
  return { selfHash: hash32(selfId), otherHashes: otherIds.map(hash32) };
}

/**
 * Returns the rate at which this host may send to a cold target, in requests
 * a second; 0 when other hosts do.
 *
 * @param targetHash Hash of the target's identifier.
 * @param ratePerS Rate that the target tolerates from all hosts.
 */
export function coldStartRatePerS(
  targetHash: number,
  ratePerS: number,
  { selfHash, otherHashes }: ColdStartSenders,
): number {
  const usedPerS = ratePerS * USED_PART;
  const senders = Math.max(1, Math.floor(usedPerS / (1 + CAPACITY)));
  const hosts = otherHashes.length + 1;
  if (hosts <= senders) return usedPerS / hosts;
  const own = mix32(targetHash, selfHash);
  let before = 0;
  for (const other of otherHashes) {
    if (mix32(targetHash, other) > own) before += 1;
    if (before >= senders) return 0;
  }
  return usedPerS / senders;
}

/** Own part of the rate of one cold target. */
export class ColdStartLimit {
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
  consumeToken(nowMs: number): void {
    takeToken(this.#bucket, nowMs);
  }
}
