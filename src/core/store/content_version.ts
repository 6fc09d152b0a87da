/**
 * Versions that the content of objects states, unlike the revisions of the
 * store.
 *
 * @module
 */

/**
 * Numbers that grow with each change of an object's content, most significant
 * first.
 */
export type ContentVersion = readonly number[];

/** Returns a negative number if `a` is older than `b`, 0 if they are equal. */
export function compareContentVersions(
  a: ContentVersion,
  b: ContentVersion,
): number {
  for (const [i, value] of a.entries()) {
    if (value !== b[i]) return value - b[i];
  }
  return 0;
}
