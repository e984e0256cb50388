/**
 * Drops the first entries of a collection until it has at most `maxSize`.
 * @returns the keys of the dropped entries
 */
export function dropOldest<Key> (entries: Map<Key, unknown> | Set<Key>, maxSize: number): Key[] {
  const dropped = [...entries.keys()].slice(0, Math.max(0, entries.size - maxSize))
  for (const key of dropped) entries.delete(key)
  return dropped
}
