/**
 * A caller's request and the answer to it on one connection.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { getErrorAnswer, ServingError, type Clock } from '../../core';
import type { HeaderList } from '../../services';
import { pairHeaders } from '../../wire';

const MS_PER_SECOND = 1_000;

/** The body of a request: whole when it is small, else a stream that can be sent once. @internal */
export type CallerBody =
  | { readonly form: 'whole'; readonly bytes: Uint8Array }
  | { readonly form: 'stream'; readonly chunks: AsyncIterable<Uint8Array> };

/** @internal */
export class CallerExchange {
  readonly arrivedAtMs: number;

  private readonly left = new AbortController();

  private firstByteAtMs: number | undefined;

  private failureOfAnswer: string | undefined;

  constructor(
    private readonly request: IncomingMessage,
    private readonly response: ServerResponse,
    private readonly clock: Clock,
  ) {
    this.arrivedAtMs = clock.nowMs();
    response.on('close', () => {
      if (!response.writableFinished) this.left.abort();
    });
    // A reset comes with 'close' too; without a listener it would end the process.
    response.on('error', () => this.left.abort());
    request.on('error', () => this.left.abort());
  }

  /** Aborted when the caller has gone before the end of the answer. */
  get disconnectSignal(): AbortSignal {
    return this.left.signal;
  }

  get requestLine(): { readonly method: string; readonly target: string } {
    return { method: this.request.method ?? 'GET', target: this.request.url ?? '/' };
  }

  get headers(): HeaderList {
    return pairHeaders(this.request.rawHeaders);
  }

  get hasAnswered(): boolean {
    return this.response.headersSent;
  }

  /** Monotonic time of the first byte of the answer's body. */
  get firstWrittenAtMs(): number | undefined {
    return this.firstByteAtMs;
  }

  /** Status of the answer, with the kind of error where there was one. */
  get outcome(): string {
    const status = this.response.headersSent ? this.response.statusCode : 'none';
    return this.failureOfAnswer ? `${status} ${this.failureOfAnswer}` : `${status}`;
  }

  /** @throws ServingError `headers-too-large`. */
  checkHeaders(maxBytes: number): void {
    const size = this.request.rawHeaders.reduce((sum, text) => sum + text.length, 0);
    if (size <= maxBytes) return;
    throw new ServingError('headers-too-large', {
      detail: `The headers are larger than ${maxBytes} bytes.`,
      clause: 'limits.maxHeaderBytes',
    });
  }

  /**
   * Reads the body. One that is larger than `storedBytes` is handed on as it comes.
   * @throws ServingError `request-too-large`, `malformed-request`.
   */
  async readBody(keptBytes: number, maxBytes: number): Promise<CallerBody> {
    const declared = Number(this.request.headers['content-length'] ?? 0);
    if (declared > maxBytes) throw this.tooLarge(maxBytes);
    const chunks: Uint8Array[] = [];
    let size = 0;
    const source = this.readChunks(maxBytes);
    for (let next = await source.next(); !next.done; next = await source.next()) {
      chunks.push(next.value);
      size += next.value.length;
      if (size > keptBytes) {
        return { form: 'stream', chunks: this.prepend(chunks, source) };
      }
    }
    return { form: 'whole', bytes: Buffer.concat(chunks) };
  }

  writeHead(status: number, headers: HeaderList): void {
    this.response.writeHead(status, headers.flat());
  }

  /** A promise means that the caller is behind and reading has to pause. */
  write(bytes: Uint8Array): Promise<void> | undefined {
    this.firstByteAtMs ??= this.clock.nowMs();
    if (this.response.write(bytes)) return undefined;
    return this.waitForDrain();
  }

  end(bytes?: Uint8Array): void {
    this.firstByteAtMs ??= this.clock.nowMs();
    if (bytes) this.response.end(bytes);
    else this.response.end();
  }

  /** Ends an answer that can't be completed, so that it doesn't look complete. */
  abort(kind: string): void {
    this.failureOfAnswer = kind;
    this.response.destroy();
  }

  /** Answers with an error of the system's own, or cuts an answer that has begun. */
  fail(error: ServingError, headers: HeaderList): void {
    if (this.response.headersSent) {
      this.abort(error.kind);
      return;
    }
    this.failureOfAnswer = error.kind;
    const { status, run, reason } = getErrorAnswer(error.kind);
    const body = JSON.stringify({
      error: { kind: error.kind, run, reason, detail: error.detail, clause: error.clause },
    });
    const retryAfter =
      error.retryAfterMs === undefined
        ? []
        : [['Retry-After', (error.retryAfterMs / MS_PER_SECOND).toFixed(3)] as const];
    // A body that hasn't been read stands where the next request would begin.
    const close = this.request.complete ? [] : [['Connection', 'close'] as const];
    this.response.writeHead(status, [
      ...[
        ...headers,
        ...retryAfter,
        ...close,
        ['Content-Type', 'application/json'] as const,
        ['Content-Length', String(Buffer.byteLength(body))] as const,
      ].flat(),
    ]);
    this.response.end(body);
  }

  private tooLarge(maxBytes: number): ServingError {
    return new ServingError('request-too-large', {
      detail: `The body is larger than ${maxBytes} bytes.`,
      clause: 'limits.maxBodyBytes',
    });
  }

  private async *readChunks(maxBytes: number): AsyncGenerator<Uint8Array> {
    let size = 0;
    try {
      for await (const chunk of this.request) {
        size += (chunk as Uint8Array).length;
        if (size > maxBytes) throw this.tooLarge(maxBytes);
        yield chunk as Uint8Array;
      }
    } catch (thrown) {
      throw ServingError.from(thrown, 'malformed-request');
    }
  }

  private async *prepend(
    first: ReadonlyArray<Uint8Array>,
    rest: AsyncIterable<Uint8Array>,
  ): AsyncGenerator<Uint8Array> {
    yield* first;
    yield* rest;
  }

  private async waitForDrain(): Promise<void> {
    const decided = new AbortController();
    await new Promise<void>((resolve) => {
      this.response.once('drain', resolve);
      this.disconnectSignal.addEventListener('abort', () => resolve(), { signal: decided.signal });
    });
    decided.abort();
  }
}
