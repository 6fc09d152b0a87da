/**
 * Maps the API keys of callers to their organisations. The core holds only
 * digests; the keys themselves never enter it.
 *
 * @module
 */
import type { Organisation } from "../document/document.ts";

/** Valid API keys of one document. */
export class ApiKeyTable {
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
   * @param digest SHA-256 of the key in hex. Digests need no constant-time
   * comparison, as its duration reveals nothing about the key.
   */
  findOrganisation(digest: string): Organisation | undefined {
    return this.#byDigest.get(digest);
  }
}
