/**
 * Fetch of the first document from other hosts by a host that starts while the
 * store is unavailable.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import type { StoreReplica } from "./store_replica.ts";

/** Delay before each round of fetches from the seeds. */
const SEED_FETCH_DELAY_MS = 400;

/** Fetches objects from the seeds in turn until there is a document. */
export async function fetchFromSeeds(
  { replica, seeds, hasDocument }: {
    replica: StoreReplica;
    /** Peer addresses of other hosts. */
    seeds: readonly string[];
    hasDocument: () => boolean;
  },
): Promise<void> {
  while (!hasDocument()) {
    await sleep(SEED_FETCH_DELAY_MS);
    for (const seed of seeds) {
      if (hasDocument() || !replica.isFailing) break;
      await replica.fetchFrom(seed);
    }
  }
}
