/**
 * 32-bit hashes for placement. They are not cryptographic. Hosts of different
 * builds have to compute the same values to assign objects alike.
 *
 * @module
 */

const UINT32_RANGE = 2 ** 32;

/**
 * Hashes text with FNV-1a and a final mix that spreads similar texts evenly.
 */
export function hash32(text: string): number {
  let h = 0x811c9dc5;
  for (let i = 0; i < text.length; i++) {
    h = Math.imul(h ^ text.charCodeAt(i), 0x01000193);
  }
  h = Math.imul(h ^ (h >>> 16), 0x85ebca6b);
  h = Math.imul(h ^ (h >>> 13), 0xc2b2ae35);
  return (h ^ (h >>> 16)) >>> 0;
}

/** Combines two hashes into one without building a text to hash. */
export function mix32(a: number, b: number): number {
  let h = Math.imul(a ^ (b >>> 16) ^ (b << 16), 0x85ebca6b);
  h = Math.imul(h ^ (h >>> 13) ^ b, 0xc2b2ae35);
  return (h ^ (h >>> 16)) >>> 0;
}

/** Maps a hash to a number above 0 and below 1. */
export function hashToUnitInterval(hash: number): number {
  return (hash + 0.5) / UINT32_RANGE;
}

/**
 * Returns a candidate's score for a key under weighted rendezvous hashing. The
 * candidate with the highest score holds the key, so a key moves only when its
 * holder leaves or a candidate with a higher score joins.
 *
 * @param weight Share of the keys that the candidate holds, relative to the
 * other candidates.
 */
export function rendezvousScore(
  keyHash: number,
  candidateHash: number,
  weight = 1,
): number {
  return -weight / Math.log(hashToUnitInterval(mix32(keyHash, candidateHash)));
}
