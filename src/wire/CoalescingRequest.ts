/**
 * Incoming message that joins small chunks of its body.
 *
 * Node.js makes a buffer of each chunk and bounds what is buffered by the bytes of the body alone. A
 * body in chunks of one byte then costs hundreds of times its size.
 */
import { IncomingMessage } from 'node:http';
import { BLOCK_BYTES, MIN_CHUNK_BYTES } from './ChunkList';

/** Chunks below this size cost more than their bytes. */
const SHORT_CHUNK_BYTES = 64;

/** @internal */
export class CoalescingRequest extends IncomingMessage {
  /** Bytes of the body that have arrived. */
  payloadBytes = 0;

  /** Short chunks that have arrived. */
  shortChunks = 0;

  private block: Buffer | undefined;

  private blockLength = 0;

  private isFlushScheduled = false;

  override push(chunk: Buffer | null): boolean {
    if (chunk === null) {
      this.flush();
      return super.push(null);
    }
    this.payloadBytes += chunk.length;
    if (chunk.length < SHORT_CHUNK_BYTES) this.shortChunks += 1;
    if (chunk.length >= MIN_CHUNK_BYTES) {
      this.flush();
      return super.push(chunk);
    }
    if (this.blockLength + chunk.length > BLOCK_BYTES) this.flush();
    this.block ??= Buffer.allocUnsafeSlow(BLOCK_BYTES);
    chunk.copy(this.block, this.blockLength);
    this.blockLength += chunk.length;
    this.scheduleFlush();
    return this.readableLength + this.blockLength < this.readableHighWaterMark;
  }

  /** Chunks that were read from the connection at once are parsed in one turn of the event loop. */
  private scheduleFlush(): void {
    if (this.isFlushScheduled) return;
    this.isFlushScheduled = true;
    process.nextTick(() => {
      this.isFlushScheduled = false;
      this.flush();
    });
  }

  private flush(): void {
    const { block, blockLength } = this;
    if (!block) return;
    this.block = undefined;
    this.blockLength = 0;
    if (this.destroyed) return;
    // A copy of the used part, as a slice would keep the whole block.
    super.push(blockLength < BLOCK_BYTES ? Buffer.from(block.subarray(0, blockLength)) : block);
  }
}
