/**
 * Request targets as they come. A target is any text without spaces that a caller
 * sends, and the URL parser throws on some, such as `//`.
 */

/** Path and query of a request. */
export interface RequestTarget {
  /** Begins with a slash; not decoded and not normalised. */
  readonly path: string;
  readonly query: URLSearchParams;
}

/** Parses a target; undefined if it is not a path, such as that of CONNECT. */
export function parseRequestTarget(
  target: string | undefined,
): RequestTarget | undefined {
  if (!target?.startsWith("/")) return undefined;
  const queryStart = target.indexOf("?");
  if (queryStart < 0) return { path: target, query: new URLSearchParams() };
  return {
    path: target.slice(0, queryStart),
    query: new URLSearchParams(target.slice(queryStart)),
  };
}
