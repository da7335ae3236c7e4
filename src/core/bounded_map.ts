/** Keeps maps bounded whose keys come from outside the process. */

/** Deletes the entry that was set first if there are more than `maximum`. */
export function evictOldest<Key>(
  entries: Map<Key, unknown>,
  maximum: number,
): void {
  if (entries.size <= maximum) return;
  const [oldest] = entries.keys();
  entries.delete(oldest as Key);
}
