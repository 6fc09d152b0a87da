/**
 * Division of an organisation's window over the hosts while some of them have
 * used more than their present share.
 *
 * A share follows the demand, the requests that were admitted with an earlier
 * share stay in the window. Limits in proportion to present shares alone would
 * add up to the limit at each moment, but not over a window.
 *
 * @module
 */

/** Use of the window by another host, or by the hosts of a zone. */
export interface WindowUse {
  /** Requests that were admitted in the window, or may have been. */
  readonly admitted: number;
  /** Present share of the rate. */
  readonly share: number;
  /**
   * Whether the use is counted as it is, because the host may not know what
   * the others have used and does not make room for them.
   */
  readonly isFixed: boolean;
}

/**
 * Returns the fraction of its share of the window that a host may use. Hosts
 * that have used more than their part keep what they have used, and the others
 * divide the rest in proportion to their shares.
 *
 * @param ownShare Share of this host.
 * @param limit Requests that all hosts together may admit in a window.
 * @returns 1 while nobody has used more than its share.
 */
export function computeUsableFraction(
  { ownShare, limit }: { ownShare: number; limit: number },
  others: readonly WindowUse[],
): number {
  let remaining = limit;
  let dividing: WindowUse[] = [];
  for (const use of others) {
    if (use.isFixed) remaining -= use.admitted;
    else dividing.push(use);
  }
  // Each pass takes out at least one host, or is the last one.
  while (true) {
    const shares = dividing.reduce((sum, { share }) => sum + share, ownShare);
    const fraction = remaining <= 0
      ? 0
      : Math.min(1, remaining / (limit * shares));
    const within: WindowUse[] = [];
    let beyond = 0;
    for (const use of dividing) {
      if (use.admitted <= fraction * use.share * limit) within.push(use);
      else beyond += use.admitted;
    }
    if (within.length === dividing.length) return fraction;
    remaining -= beyond;
    dividing = within;
  }
}
