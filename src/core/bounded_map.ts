/** Keeps maps bounded whose keys come from outside the process. */

/**
 * Deletes the entries that were set first, beyond `maximum`. Deleted entries are passed
 * over again by the next call, so call this once for several new ones.
 */
export function evictOldest<Key>(
  entries: Map<Key, unknown>,
  maximum: number,
): void {
  if (entries.size <= maximum) return;
  for (const oldest of entries.keys()) {
    entries.delete(oldest);
    if (entries.size <= maximum) return;
  }
}
