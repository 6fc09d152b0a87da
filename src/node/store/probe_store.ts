/**
 * Check whether the store answers this host.
 *
 * @module
 */
import { type ObjectStore, StoreError } from "./object_store.ts";

/**
 * Probes the store. A probe without an answer is repeated, as its connection may
 * be dead: by then the client has closed the connections that it would reuse.
 *
 * @throws {StoreError} When the store refuses the call, or answers neither.
 */
export async function probeStore(store: ObjectStore): Promise<void> {
  try {
    await store.probe();
  } catch (error) {
    const isUnanswered = error instanceof StoreError &&
      error.kind === "unanswered";
    if (!isUnanswered) throw error;
    await store.probe();
  }
}
