/**
 * Keys of callers. Only digests are held; a key itself never enters the core.
 *
 * @module
 */
import type { Organisation } from "../document/document.ts";

/** Keys that are valid now. */
export class KeyTable {
  #byDigest = new Map<string, Organisation>();

  constructor(organisations: readonly Organisation[]) {
    for (const organisation of organisations) {
      for (const digest of organisation.keyDigests) {
        this.#byDigest.set(digest, organisation);
      }
    }
  }

  /**
   * Returns the organisation of a valid key, or `undefined`.
   *
   * @param digest SHA-256 of the key in hex. A digest needs no comparison in
   * constant time, as its timing says nothing about the key.
   */
  find(digest: string): Organisation | undefined {
    return this.#byDigest.get(digest);
  }
}
