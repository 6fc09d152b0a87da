/**
 * Bound on the memory of request heads that are being received.
 *
 * @module
 */

/** A head that is not complete yet. */
export interface UnfinishedHead {
  /** Bytes received so far. */
  readonly bytes: number;
}

/**
 * Returns the heads to refuse so that the others fit into `maxBytes`: the
 * largest first, as callers with ordinary heads should not suffer.
 */
export function chooseHeadsToRefuse<T extends UnfinishedHead>(
  heads: readonly T[],
  maxBytes: number,
): T[] {
  let bytes = heads.reduce((sum, head) => sum + head.bytes, 0);
  if (bytes <= maxBytes) return [];
  const chosen: T[] = [];
  for (const head of [...heads].sort((a, b) => b.bytes - a.bytes)) {
    if (bytes <= maxBytes) break;
    bytes -= head.bytes;
    chosen.push(head);
  }
  return chosen;
}
