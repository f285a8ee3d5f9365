/**
 * Receivers that send a generation to its caller over HTTP.
 *
 * They write directly to the response of the Node.js HTTP server, which signals backpressure when
 * its bounded buffer is full.
 */
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response';
import { ServingError, type Clock } from '../../core';
import { GenerationReceiver, type GenerationEvent } from '../../services';
import { createProblem, formatEvent, type CallerContext } from '../../wire';
import { END_OF_STREAM } from './EngineClient';
import type { GenerationOptions } from './options';

/** @internal */
export abstract class HttpReceiver extends GenerationReceiver {
  protected readonly outgoing: CallerContext['env']['outgoing'];

  private readonly disconnectController = new AbortController();

  constructor(
    protected readonly context: CallerContext,
    protected readonly clock: Clock,
    protected readonly options: GenerationOptions,
  ) {
    super();
    this.outgoing = context.env.outgoing;
    this.outgoing.once('close', () => {
      if (!this.outgoing.writableFinished) this.disconnectController.abort();
    });
    // Without a listener, a write to a closed connection would end the process.
    this.outgoing.on('error', () => this.disconnectController.abort());
    if (this.outgoing.destroyed) this.disconnectController.abort();
  }

  get disconnectSignal(): AbortSignal {
    return this.disconnectController.signal;
  }

  /** Completes the response. */
  abstract end(): Promise<Response>;

  /** Reports a failure within the response, or throws it if nothing has been sent. */
  abstract fail(error: ServingError): Promise<Response>;

  /** Closes the connection, so that the caller can't take a partial response for a complete one. */
  protected disconnect(reason: ServingError): void {
    this.disconnectController.abort(reason);
    this.outgoing.destroy();
  }
}

/** Sends events as they arrive. @internal */
export class StreamReceiver extends HttpReceiver {
  private token = '';

  private lastEventId: string | undefined;

  get canRestart(): boolean {
    return !this.outgoing.headersSent;
  }

  begin(token: string): void {
    this.token = token;
  }

  write({ eventId, data }: GenerationEvent): Promise<void> | undefined {
    if (!this.outgoing.headersSent) this.sendHead();
    this.lastEventId = eventId;
    return this.send(formatEvent({ id: eventId, data }));
  }

  async end(): Promise<Response> {
    if (!this.outgoing.headersSent) this.sendHead();
    this.outgoing.end(formatEvent({ id: this.lastEventId, data: END_OF_STREAM }));
    return RESPONSE_ALREADY_SENT;
  }

  async fail(error: ServingError): Promise<Response> {
    if (!this.outgoing.headersSent) throw error;
    const { problem } = createProblem(error, this.context.get('requestId'));
    // Clients of the completions format expect the member `error`.
    const data = {
      ...problem,
      error: {
        message: `${problem.reason} ${problem.detail}`,
        type: problem.kind,
        code: problem.kind,
      },
    };
    const id = this.lastEventId;
    this.outgoing.end(formatEvent({ id, event: 'error', data: JSON.stringify(data) }));
    return RESPONSE_ALREADY_SENT;
  }

  private sendHead(): void {
    this.outgoing.writeHead(200, {
      'content-type': 'text/event-stream; charset=utf-8',
      'cache-control': 'no-store',
      'x-request-id': this.context.get('requestId'),
      'x-generation-token': this.token,
    });
  }

  private send(text: string): Promise<void> | undefined {
    return this.outgoing.write(text) ? undefined : this.waitForCaller();
  }

  /** Waits until the caller has read the buffered data; disconnects it after a timeout. */
  private async waitForCaller(): Promise<void> {
    const settled = new AbortController();
    const drained = new Promise<void>((resolve) => {
      this.outgoing.once('drain', resolve);
      this.disconnectSignal.addEventListener('abort', () => resolve(), {
        once: true,
        signal: settled.signal,
      });
    });
    await Promise.race([
      drained,
      this.clock.sleep(this.options.slowReaderTimeoutMs, settled.signal),
    ]);
    settled.abort();
    if (this.disconnectSignal.aborted || !this.outgoing.writableNeedDrain) return;
    this.disconnect(
      new ServingError('slow-reader', {
        detail: `The caller read nothing for ${this.options.slowReaderTimeoutMs} ms.`,
      }),
    );
  }
}
