/**
 * Parses the target of a request line (RFC 9112, section 3.2).
 *
 * @module
 */

/** Host and path of a request. */
export interface RequestTarget {
  /** Host and port to which the request is addressed; "" if not stated. */
  readonly host: string;
  /** Path with query. */
  readonly path: string;
}

const ABSOLUTE_FORM = /^https?:\/\/([^/?#@\s]+)(\/[^#]*|\?[^#]*)?$/i;

/**
 * Parses a request target in origin form, absolute form or asterisk form.
 * Returns `undefined` if it has none of these forms.
 *
 * @param host Value of the host header. An absolute form takes precedence.
 */
export function parseRequestTarget(
  target: string,
  host: string,
): RequestTarget | undefined {
  if (target.startsWith("/") || target === "*") return { host, path: target };
  const match = ABSOLUTE_FORM.exec(target);
  if (match === null) return undefined;
  const [, authority, path = "/"] = match;
  return { host: authority, path: path.startsWith("?") ? `/${path}` : path };
}
