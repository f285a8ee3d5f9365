/**
 * One HTTP exchange with a caller: reads the request and writes the response.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { getErrorAnswer, rejectOnAbort, ServingError, type Clock } from '../../core';
import type { HeaderList } from '../../services';
import { ChunkList, pairHeaders } from '../../wire';
import { BufferedBody, StreamedBody, type CallerBody } from './CallerBody';
import { createNoMemoryError } from './createNoMemoryError';
import type { HeldPart } from './HeldMemory';
import { FORWARDING_OPTIONS } from './options';

const MS_PER_SECOND = 1_000;

/**
 * How an exchange ended. `answered`: the answer is complete, and the system may still be sending it.
 * `cut`: its connection was closed, so that an incomplete answer can't look complete. @internal
 */
export type ExchangeOutcome = 'answered' | 'caller left' | 'cut';

/** @internal */
export class CallerExchange {
  readonly arrivedAtMs: number;

  private readonly disconnectController = new AbortController();

  private firstByteAtMs: number | undefined;

  private lastWrittenAtMs: number | undefined;

  private longestWriteGapMs = 0;

  private errorKind: string | undefined;

  /** Bytes of the answer that haven't been written to the connection. */
  private unwrittenBytes = 0;

  /** Bytes of the answer and the connection that the system had not taken at `unsentSinceMs`. */
  private unsentBytes = 0;

  private unsentSinceMs = 0;

  private outcomeKind: ExchangeOutcome | undefined;

  private receivedBytes = 0;

  /** Resolves when the answer has been handed to the system, or the connection is closed. */
  readonly closed: Promise<void>;

  constructor(
    private readonly request: IncomingMessage,
    private readonly response: ServerResponse,
    private readonly clock: Clock,
    private readonly held?: HeldPart,
  ) {
    this.arrivedAtMs = clock.nowMs();
    this.closed = new Promise((resolve) => {
      response.on('finish', resolve);
      response.on('close', resolve);
    });
    response.on('close', () => {
      if (!response.writableFinished) this.recordDisconnect();
    });
    // A reset emits 'close' as well; an 'error' event without a listener would end the process.
    response.on('error', () => this.recordDisconnect());
    request.on('error', () => this.recordDisconnect());
  }

  /** Undefined until the answer is complete or the connection closed. */
  get ending(): ExchangeOutcome | undefined {
    return this.outcomeKind;
  }

  /** Aborts when the caller disconnects before the response is complete. */
  get disconnectSignal(): AbortSignal {
    return this.disconnectController.signal;
  }

  get socket(): Socket {
    return this.request.socket;
  }

  /** Whether the answer is complete, and the caller has read nothing of it for a time. */
  isUnreadFor(timeoutMs: number): boolean {
    if (this.outcomeKind !== 'answered' || this.response.writableFinished) return false;
    const unsentBytes = this.unwrittenBytes + this.socket.writableLength;
    const nowMs = this.clock.nowMs();
    if (unsentBytes !== this.unsentBytes) {
      this.unsentBytes = unsentBytes;
      this.unsentSinceMs = nowMs;
    }
    return nowMs - this.unsentSinceMs >= timeoutMs;
  }

  get requestLine(): { readonly method: string; readonly target: string } {
    return { method: this.request.method ?? 'GET', target: this.request.url ?? '/' };
  }

  get headers(): HeaderList {
    return pairHeaders(this.request.rawHeaders);
  }

  /** Bytes of the request's body that were read so far. */
  get bodyBytes(): number {
    return this.receivedBytes;
  }

  get hasAnswered(): boolean {
    return this.response.headersSent;
  }

  /** Counts bytes that this request makes the node hold; false if there is no room for them. */
  hold(bytes: number): boolean {
    return this.held?.grow(bytes) ?? true;
  }

  /** Monotonic time at which the first byte of the response body was written. */
  get firstWrittenAtMs(): number | undefined {
    return this.firstByteAtMs;
  }

  /** Longest time between two writes of the response body. */
  get longestGapMs(): number {
    return this.longestWriteGapMs;
  }

  /** Status code of the response, followed by the error kind if the request failed. */
  get outcome(): string {
    const status = this.response.headersSent ? this.response.statusCode : 'none';
    return this.errorKind ? `${status} ${this.errorKind}` : `${status}`;
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
   * Reads the body. A body larger than `maxBufferedBytes` is read while it is sent.
   * @throws ServingError `request-too-large`, `malformed-request`, `overloaded`; another error if the
   *   signal aborts.
   */
  async readBody(
    maxBufferedBytes: number,
    maxBytes: number,
    signal: AbortSignal,
  ): Promise<CallerBody> {
    const declared = Number(this.request.headers['content-length'] ?? 0);
    if (declared > maxBytes) throw this.createTooLargeError(maxBytes);
    const buffer = new ChunkList();
    const source = this.readChunks(maxBytes);
    const readNext = async (): Promise<IteratorResult<Uint8Array>> =>
      rejectOnAbort(source.next(), signal);
    for (let next = await readNext(); !next.done; next = await readNext()) {
      if (!this.hold(next.value.length)) throw createNoMemoryError();
      buffer.append(next.value);
      if (buffer.length > maxBufferedBytes) {
        // What the parser, the body and the connection to the endpoint buffer besides.
        if (!this.hold(FORWARDING_OPTIONS.streamedBodyBytes)) throw createNoMemoryError();
        return new StreamedBody(buffer.read(), source, (onReclaimed) =>
          this.held?.createReclaimable(onReclaimed),
        );
      }
    }
    return new BufferedBody(buffer.read());
  }

  writeHead(status: number, headers: HeaderList): void {
    this.response.writeHead(status, headers.flat());
  }

  /** Returns a promise if the write buffer is full; wait for it before writing more. */
  write(bytes: Uint8Array, signal: AbortSignal): Promise<void> | undefined {
    const nowMs = this.clock.nowMs();
    this.firstByteAtMs ??= nowMs;
    this.longestWriteGapMs = Math.max(
      this.longestWriteGapMs,
      nowMs - (this.lastWrittenAtMs ?? nowMs),
    );
    this.lastWrittenAtMs = nowMs;
    if (this.response.write(bytes)) return undefined;
    return this.waitForDrain(signal);
  }

  end(bytes?: Uint8Array): void {
    this.firstByteAtMs ??= this.clock.nowMs();
    this.outcomeKind ??= 'answered';
    this.unsentSinceMs = this.clock.nowMs();
    if (bytes) void this.endInPieces(bytes);
    else this.response.end();
  }

  /** The length of what is buffered falls only with a whole write, so a large one shows no progress. */
  private async endInPieces(bytes: Uint8Array): Promise<void> {
    const { response } = this;
    const { answerPieceBytes } = FORWARDING_OPTIONS;
    let start = 0;
    for (; bytes.length - start > answerPieceBytes; start += answerPieceBytes) {
      const isAccepted = response.write(bytes.subarray(start, start + answerPieceBytes));
      this.unwrittenBytes = bytes.length - start - answerPieceBytes;
      if (!isAccepted) await this.waitForDrain(this.disconnectSignal).catch(() => {});
      if (this.disconnectSignal.aborted) return;
    }
    this.unwrittenBytes = 0;
    response.end(bytes.subarray(start));
  }

  /** Makes the connection close after the response, unless its head has been sent. */
  closeAfterResponse(): void {
    if (!this.response.headersSent) this.response.shouldKeepAlive = false;
  }

  /** Destroys the connection, so that a truncated response can't look complete. */
  abort(kind: string): void {
    this.errorKind = kind;
    this.outcomeKind ??= 'cut';
    this.response.destroy();
  }

  /** Sends an error response, or aborts the response if its head has been sent. */
  fail(error: ServingError, headers: HeaderList): void {
    if (this.response.headersSent) {
      this.abort(error.kind);
      return;
    }
    this.errorKind = error.kind;
    const { status, run, reason } = getErrorAnswer(error.kind);
    // As bytes: headers before a text are written as UTF-8, which changes those that aren't ASCII.
    const body = Buffer.from(
      JSON.stringify({
        error: { kind: error.kind, run, reason, detail: error.detail, clause: error.clause },
      }),
    );
    const retryAfter =
      error.retryAfterMs === undefined
        ? []
        : [['Retry-After', (error.retryAfterMs / MS_PER_SECOND).toFixed(3)] as const];
    // The unread rest of a body would be parsed as the next request on the connection.
    const close = this.request.complete ? [] : [['Connection', 'close'] as const];
    this.response.writeHead(status, [
      ...[
        ...headers,
        ...retryAfter,
        ...close,
        ['Content-Type', 'application/json'] as const,
        ['Content-Length', String(body.length)] as const,
      ].flat(),
    ]);
    this.outcomeKind ??= 'answered';
    this.unsentSinceMs = this.clock.nowMs();
    this.response.end(body);
  }

  private recordDisconnect(): void {
    this.outcomeKind ??= 'caller left';
    this.disconnectController.abort();
  }

  private createTooLargeError(maxBytes: number): ServingError {
    return new ServingError('request-too-large', {
      detail: `The body is larger than ${maxBytes} bytes.`,
      clause: 'limits.maxBodyBytes',
    });
  }

  private async *readChunks(maxBytes: number): AsyncGenerator<Uint8Array> {
    try {
      for await (const chunk of this.request) {
        this.receivedBytes += (chunk as Uint8Array).length;
        if (this.receivedBytes > maxBytes) throw this.createTooLargeError(maxBytes);
        yield chunk as Uint8Array;
      }
    } catch (thrown) {
      throw ServingError.from(thrown, 'malformed-request');
    }
  }

  /** @throws the signal's reason when the request ends while the caller doesn't read. */
  private async waitForDrain(signal: AbortSignal): Promise<void> {
    if (this.disconnectSignal.aborted) return;
    const settled = new AbortController();
    await new Promise<void>((resolve) => {
      this.response.once('drain', resolve);
      [this.disconnectSignal, signal].forEach((ended) =>
        ended.addEventListener('abort', () => resolve(), { signal: settled.signal }),
      );
      if (signal.aborted) resolve();
    });
    settled.abort();
    if (!this.disconnectSignal.aborted) signal.throwIfAborted();
  }
}
