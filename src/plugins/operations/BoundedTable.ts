/**
 * A size-limited table whose entries each have an expiry time. A full table never evicts an entry
 * to make room, because the outcome of an evicted ticket would be lost; callers check `isFull`
 * before they add entries.
 */
import type { Clock } from '../../core';

/** @internal */
export interface ExpiringEntry {
  readonly expiresAtMs: number;
  readonly storedBytes: number;
}

/** @internal */
export class BoundedTable<K, V extends ExpiringEntry> {
  private readonly entries = new Map<K, V>();

  private totalBytes = 0;

  constructor(
    private readonly clock: Clock,
    private readonly limits: { readonly maxEntries: number; readonly maxStoredBytes: number },
  ) {}

  get size(): number {
    return this.entries.size;
  }

  get storedBytes(): number {
    return this.totalBytes;
  }

  get isFull(): boolean {
    if (this.hasRoom()) return false;
    this.sweep();
    return !this.hasRoom();
  }

  /** Ignores an expired entry even before it is removed. */
  find(key: K): V | undefined {
    const entry = this.entries.get(key);
    return entry && entry.expiresAtMs > this.clock.nowMs() ? entry : undefined;
  }

  set(key: K, entry: V): void {
    this.totalBytes += entry.storedBytes - (this.entries.get(key)?.storedBytes ?? 0);
    this.entries.set(key, entry);
  }

  /** Removes expired entries. */
  sweep(): void {
    const nowMs = this.clock.nowMs();
    [...this.entries]
      .filter(([, entry]) => entry.expiresAtMs <= nowMs)
      .forEach(([key, entry]) => {
        this.totalBytes -= entry.storedBytes;
        this.entries.delete(key);
      });
  }

  private hasRoom(): boolean {
    return this.size < this.limits.maxEntries && this.totalBytes < this.limits.maxStoredBytes;
  }
}
