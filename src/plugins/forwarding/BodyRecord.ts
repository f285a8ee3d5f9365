/**
 * Bytes of a body that are kept to be sent again.
 *
 * They are copied into blocks: a chunk as it was read may be a small part of a buffer that it would
 * keep in memory as a whole.
 */
import { FORWARDING_OPTIONS } from './options';
import type { ReclaimablePart } from './ReclaimableMemory';

const BLOCK_BYTES = FORWARDING_OPTIONS.keptBodyBlockBytes;

/** @internal */
export class BodyRecord {
  private readonly blocks: Buffer[] = [];

  private length = 0;

  /** @param memory counts the blocks; undefined if nothing does. */
  constructor(private readonly memory: ReclaimablePart | undefined) {}

  /** Returns false if there is no memory; the record then lacks some of the bytes. */
  append(bytes: Uint8Array): boolean {
    let start = 0;
    while (start < bytes.length) {
      const block = this.findFreeBlock();
      if (!block) return false;
      const usedBytes = this.length % BLOCK_BYTES;
      const part = bytes.subarray(start, start + BLOCK_BYTES - usedBytes);
      block.set(part, usedBytes);
      this.length += part.length;
      start += part.length;
    }
    return true;
  }

  /** Yields all bytes. The record isn't reclaimed until the end. */
  async *read(): AsyncGenerator<Uint8Array> {
    this.pin();
    try {
      for (const [index, block] of this.blocks.entries()) {
        yield block.subarray(0, this.length - index * BLOCK_BYTES);
      }
    } finally {
      this.unpin();
    }
  }

  pin(): void {
    this.memory?.pin();
  }

  unpin(): void {
    this.memory?.unpin();
  }

  release(): void {
    this.memory?.release();
  }

  /** Returns the last block, or a new one if it is full; undefined if there is no memory. */
  private findFreeBlock(): Buffer | undefined {
    if (this.length % BLOCK_BYTES !== 0) return this.blocks.at(-1);
    const isHeld = this.memory?.grow(BLOCK_BYTES) ?? true;
    if (!isHeld) return undefined;
    const block = Buffer.allocUnsafeSlow(BLOCK_BYTES);
    this.blocks.push(block);
    return block;
  }
}
