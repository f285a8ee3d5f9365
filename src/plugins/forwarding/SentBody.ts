/**
 * Body of one attempt to send a request. Counts the bytes that were handed to the connection, so that
 * the log shows an attempt that lacks a part of the body.
 */

/** @internal */
export type BodyContent = Uint8Array | AsyncIterable<Uint8Array> | undefined;

/** @internal */
export class SentBody {
  readonly content: BodyContent;

  private handedOverBytes = 0;

  constructor(content: BodyContent) {
    if (content === undefined || content instanceof Uint8Array) {
      this.content = content;
      this.handedOverBytes = content?.length ?? 0;
    } else {
      this.content = this.count(content);
    }
  }

  /** Grows while a body is read that is not buffered. */
  get bytes(): number {
    return this.handedOverBytes;
  }

  private async *count(chunks: AsyncIterable<Uint8Array>): AsyncGenerator<Uint8Array> {
    for await (const chunk of chunks) {
      this.handedOverBytes += chunk.length;
      yield chunk;
    }
  }
}
