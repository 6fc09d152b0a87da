/**
 * Checks of the path of a request.
 *
 * @module
 */

/**
 * A segment of one or two dots, in which each character, and the slashes around
 * it, may be percent-encoded or a backslash.
 */
const DOT_SEGMENT = /(?:[/\\]|%2f|%5c)(?:\.|%2e){1,2}(?:$|[/\\?#]|%2f|%5c)/i;

/**
 * Whether a path has a segment `.` or `..`, encoded or not. Targets resolve such
 * segments, so that a path which begins with the prefix of one route could run
 * as a path of another one.
 *
 * @param path Path with or without a query.
 */
export function hasDotSegment(path: string): boolean {
  const queryStart = path.indexOf("?");
  return DOT_SEGMENT.test(
    queryStart < 0 ? path : path.slice(0, queryStart),
  );
}
