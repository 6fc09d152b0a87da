/**
 * Token bucket over monotonic time. The caller passes the current time, in
 * milliseconds.
 *
 * @module
 */

/** State of a token bucket. */
export interface TokenBucket {
  tokensPerS: number;
  /** Largest number of tokens that the bucket holds. */
  capacity: number;
  tokens: number;
  /** Time up to which tokens have been added. */
  updatedMs: number;
}

/**
 * Creates an empty bucket. It starts empty because a process that restarted
 * does not know how many tokens it used before.
 */
export function createBucket(
  limits: { tokensPerS: number; capacity: number },
  nowMs: number,
): TokenBucket {
  return { ...limits, tokens: 0, updatedMs: nowMs };
}

/** Adds the tokens that have accrued until `nowMs`. */
export function refill(bucket: TokenBucket, nowMs: number): void {
  const elapsedMs = nowMs - bucket.updatedMs;
  if (elapsedMs <= 0) return;
  bucket.tokens = Math.min(
    bucket.capacity,
    bucket.tokens + elapsedMs * bucket.tokensPerS / 1_000,
  );
  bucket.updatedMs = nowMs;
}

/** Changes rate and capacity. Tokens above the new capacity are dropped. */
export function resize(
  bucket: TokenBucket,
  limits: { tokensPerS: number; capacity: number },
  nowMs: number,
): void {
  refill(bucket, nowMs);
  bucket.tokensPerS = limits.tokensPerS;
  bucket.capacity = limits.capacity;
  bucket.tokens = Math.min(bucket.tokens, limits.capacity);
}

/** Removes one token. Returns whether there was one. */
export function takeToken(bucket: TokenBucket, nowMs: number): boolean {
  refill(bucket, nowMs);
  if (bucket.tokens < 1) return false;
  bucket.tokens -= 1;
  return true;
}

/**
 * Time until the bucket holds one token, in milliseconds as of its last
 * refill; 0 if it holds one or gets none.
 */
export function timeToNextTokenMs(bucket: TokenBucket): number {
  if (bucket.tokens >= 1 || bucket.tokensPerS <= 0) return 0;
  return (1 - bucket.tokens) * 1_000 / bucket.tokensPerS;
}
