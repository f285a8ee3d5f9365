/**
 * Receivers that buffer a generation and send it when it is complete.
 */
import type { ServingError } from '../../core';
import type { GenerationEvent } from '../../services';
import { combineChunks } from './combineChunks';
import { HttpReceiver, StreamReceiver } from './HttpReceiver';

abstract class BufferedReceiver extends HttpReceiver {
  readonly canRestart = true;

  protected token = '';

  protected events: GenerationEvent[] = [];

  /** Discards the events of a failed generation. */
  begin(token: string): void {
    this.token = token;
    this.events = [];
  }

  write(event: GenerationEvent): undefined {
    this.events.push(event);
  }

  async fail(error: ServingError): Promise<Response> {
    throw error;
  }
}

/** Responds with one JSON document. @internal */
export class BufferedDocumentReceiver extends BufferedReceiver {
  async end(): Promise<Response> {
    const completion = combineChunks(this.events.map(({ data }) => data));
    return this.context.json(completion, 200, { 'x-generation-token': this.token });
  }
}

/** Responds with a stream to a caller that asked for one. @internal */
export class BufferedStreamReceiver extends BufferedReceiver {
  async end(): Promise<Response> {
    const stream = new StreamReceiver(this.context, this.clock, this.options);
    stream.begin(this.token);
    for (const event of this.events) {
      if (stream.disconnectSignal.aborted) break;
      await stream.write(event);
    }
    return stream.end();
  }
}
