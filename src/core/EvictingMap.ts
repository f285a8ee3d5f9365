/**
 * A map that holds a limited number of entries and drops its oldest one for a new one.
 *
 * It bounds what a node remembers of names that others choose. Where an entry must outlive newer ones,
 * refuse the new ones instead.
 */

/** @public */
export class EvictingMap<K, V> {
  /** Oldest first. */
  private readonly entries = new Map<K, V>();

  constructor(private readonly maxEntries: number) {}

  get size(): number {
    return this.entries.size;
  }

  has(key: K): boolean {
    return this.entries.has(key);
  }

  get(key: K): V | undefined {
    return this.entries.get(key);
  }

  /** Returns the values, oldest first. */
  values(): ReadonlyArray<V> {
    return [...this.entries.values()];
  }

  /** Keeps the age of a known key. */
  set(key: K, value: V): void {
    this.entries.set(key, value);
    if (this.entries.size <= this.maxEntries) return;
    const [oldest] = this.entries;
    if (oldest) this.entries.delete(oldest[0]);
  }

  /** Makes the key the newest, even a known one, so that the least recently set key is dropped. */
  setNewest(key: K, value: V): void {
    this.entries.delete(key);
    this.set(key, value);
  }

  delete(key: K): void {
    this.entries.delete(key);
  }
}
