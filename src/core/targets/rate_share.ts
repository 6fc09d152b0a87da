/**
 * Division of a target's request rate among the hosts without any messages:
 * rendezvous hashing chooses the hosts that may send to the target, and each of
 * them gets the same share of the rate.
 *
 * @module
 */
import { hash32, mix32 } from "../hash32.ts";

/** Hosts among which the senders to a target are chosen. */
export interface SenderCandidates {
  readonly selfHash: number;
  /** Hashes of the other hosts. */
  readonly otherHashes: readonly number[];
}

/**
 * Hashes the identifiers of the hosts once, as the candidates are needed for
 * each request.
 */
export function createSenderCandidates(
  selfId: string,
  otherIds: readonly string[],
): SenderCandidates {
  return { selfHash: hash32(selfId), otherHashes: otherIds.map(hash32) };
}

/**
 * Returns the rate at which this host may send to a target, in requests per
 * second; 0 if only other hosts may send to it.
 *
 * @param targetHash Hash of the target's identifier.
 * @param options `ratePerS`: rate of all hosts together. `senderCount`: number
 * of hosts that may send, at least 1.
 */
export function computeRateShare(
  targetHash: number,
  { ratePerS, senderCount }: { ratePerS: number; senderCount: number },
  { selfHash, otherHashes }: SenderCandidates,
): number {
  const hostCount = otherHashes.length + 1;
  if (hostCount <= senderCount) return ratePerS / hostCount;
  const selfScore = mix32(targetHash, selfHash);
  let higherScores = 0;
  for (const otherHash of otherHashes) {
    if (mix32(targetHash, otherHash) > selfScore) higherScores += 1;
    if (higherScores >= senderCount) return 0;
  }
  return ratePerS / senderCount;
}
