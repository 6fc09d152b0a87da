/**
 * A 32-bit hash of text for placement, not for security.
 *
 * @module
 */

const UINT32_RANGE = 2 ** 32;

/** FNV-1a with a final mix, so that similar texts spread evenly. */
export function hash32(text: string): number {
  let h = 0x811c9dc5;
  for (let i = 0; i < text.length; i++) {
    h = Math.imul(h ^ text.charCodeAt(i), 0x01000193);
  }
  h = Math.imul(h ^ (h >>> 16), 0x85ebca6b);
  h = Math.imul(h ^ (h >>> 13), 0xc2b2ae35);
  return (h ^ (h >>> 16)) >>> 0;
}

/** Combines two hashes into one, for placement without building texts. */
export function mix32(a: number, b: number): number {
  let h = Math.imul(a ^ (b >>> 16) ^ (b << 16), 0x85ebca6b);
  h = Math.imul(h ^ (h >>> 13) ^ b, 0xc2b2ae35);
  return (h ^ (h >>> 16)) >>> 0;
}

/** Maps a hash to a number above 0 and below 1. */
export function unitOf(hash: number): number {
  return (hash + 0.5) / UINT32_RANGE;
}

/**
 * Score of a candidate under weighted rendezvous hashing: the candidate with
 * the highest score holds the key, and a key moves only when its holder goes.
 *
 * @param weight Part of the keys that the candidate holds, relative to others.
 */
export function rendezvousScore(
  keyHash: number,
  candidateHash: number,
  weight = 1,
): number {
  return -weight / Math.log(unitOf(mix32(keyHash, candidateHash)));
}
