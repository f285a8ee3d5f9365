/**
 * Collects chunks and joins the small ones. Chunks may be as short as a byte, and an object for each
 * would cost hundreds of times its size.
 */

/** Chunks of this size and more are kept, or passed on, as they are. */
export const MIN_CHUNK_BYTES = 2_048;
/** Size of the blocks into which smaller chunks are joined. */
export const BLOCK_BYTES = 8_192;

/** @internal */
export class ChunkList {
  private readonly chunks: Uint8Array[] = [];

  /** Block for small chunks; only its used part is in `chunks`. */
  private block: Buffer | undefined;

  private blockLength = 0;

  private totalBytes = 0;

  get length(): number {
    return this.totalBytes;
  }

  append(chunk: Uint8Array): void {
    this.totalBytes += chunk.length;
    // Most bodies are a single chunk.
    if (chunk.length >= MIN_CHUNK_BYTES || this.chunks.length === 0) {
      this.chunks.push(chunk);
      this.block = undefined;
    } else {
      this.appendSmall(chunk);
    }
  }

  /** Returns all bytes so far. */
  read(): Buffer {
    const [first] = this.chunks;
    return first && this.chunks.length === 1
      ? Buffer.from(first.buffer, first.byteOffset, first.length)
      : Buffer.concat(this.chunks);
  }

  private appendSmall(chunk: Uint8Array): void {
    if (this.block && this.blockLength + chunk.length <= BLOCK_BYTES) {
      this.chunks.pop();
    } else {
      this.block = Buffer.allocUnsafeSlow(BLOCK_BYTES);
      this.blockLength = 0;
    }
    this.block.set(chunk, this.blockLength);
    this.blockLength += chunk.length;
    this.chunks.push(this.block.subarray(0, this.blockLength));
  }
}
