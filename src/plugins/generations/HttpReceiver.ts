/**
 * The receiving end of a generation over HTTP.
 *
 * Writes to the response of the HTTP server itself, whose buffer is bounded and tells when the
 * caller is behind.
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

  private readonly leaving = new AbortController();

  constructor(
    protected readonly context: CallerContext,
    protected readonly clock: Clock,
    protected readonly options: GenerationOptions,
  ) {
    super();
    this.outgoing = context.env.outgoing;
    this.outgoing.once('close', () => {
      if (!this.outgoing.writableFinished) this.leaving.abort();
    });
    // Without a listener, a write that meets the closed connection would end the process.
    this.outgoing.on('error', () => this.leaving.abort());
    if (this.outgoing.destroyed) this.leaving.abort();
  }

  get disconnectSignal(): AbortSignal {
    return this.leaving.signal;
  }

  /** Completes the answer. */
  abstract end(): Promise<Response>;

  /** Reports a failure within the answer; throws it while nothing has been sent. */
  abstract fail(error: ServingError): Promise<Response>;

  /** Closes the connection, so that the caller can't take a part for the whole. */
  protected disconnect(reason: ServingError): void {
    this.leaving.abort(reason);
    this.outgoing.destroy();
  }
}

/** Sends events as they come. @internal */
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
    // Clients of the completions format look for the member `error`.
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

  /** Waits until the caller has taken what was sent, up to the deadline. */
  private async waitForCaller(): Promise<void> {
    const over = new AbortController();
    const wasTaken = new Promise<void>((resolve) => {
      this.outgoing.once('drain', resolve);
      this.disconnectSignal.addEventListener('abort', () => resolve(), {
        once: true,
        signal: over.signal,
      });
    });
    await Promise.race([wasTaken, this.clock.sleep(this.options.slowReaderTimeoutMs, over.signal)]);
    over.abort();
    if (this.disconnectSignal.aborted || !this.outgoing.writableNeedDrain) return;
    this.disconnect(
      new ServingError('slow-reader', {
        detail: `Nothing was read for ${this.options.slowReaderTimeoutMs} ms.`,
      }),
    );
  }
}
