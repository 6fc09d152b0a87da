/**
 * Rate limit for a target in cold start. It holds over all hosts without any
 * messages: only a few hosts may send at all, each at its share of the rate.
 *
 * @module
 */
import {
  createBucket,
  resize,
  takeToken,
  type TokenBucket,
} from "../limits/token_bucket.ts";
import { computeRateShare, type SenderCandidates } from "./rate_share.ts";

/**
 * Fraction of the tolerated rate that is used. The remainder covers hosts that
 * disagree on the live hosts while hosts start and stop.
 */
const USED_FRACTION = 0.7;
/**
 * Tokens that a sender can accumulate. It exceeds its rate by at most this
 * number of requests in any second.
 */
const CAPACITY = 1;

/**
 * Returns the rate at which this host may send to a target in cold start, in
 * requests a second; 0 if only other hosts may send to it.
 *
 * @param targetHash Hash of the target's identifier.
 * @param toleratedRatePerS Rate that the target tolerates from all hosts.
 */
export function coldStartRatePerS(
  targetHash: number,
  toleratedRatePerS: number,
  candidates: SenderCandidates,
): number {
  const ratePerS = toleratedRatePerS * USED_FRACTION;
  const senderCount = Math.max(1, Math.floor(ratePerS / (1 + CAPACITY)));
  return computeRateShare(targetHash, { ratePerS, senderCount }, candidates);
}

/** Limits the requests of this host to one target in cold start. */
export class ColdStartLimit {
  #bucket: TokenBucket;

  constructor(nowMs: number) {
    this.#bucket = createBucket({ tokensPerS: 0, capacity: CAPACITY }, nowMs);
  }

  /** Whether a request may be sent now. The rate may differ between calls. */
  hasToken(ratePerS: number, nowMs: number): boolean {
    resize(this.#bucket, { tokensPerS: ratePerS, capacity: CAPACITY }, nowMs);
    return this.#bucket.tokens >= 1;
  }

  /** Takes the token of a request that is sent. */
  takeToken(nowMs: number): void {
    takeToken(this.#bucket, nowMs);
  }
}
