/**
 * Receivers that hand a generation over when it is complete.
 */
import type { ServingError } from '../../core';
import type { GenerationEvent } from '../../services';
import { combineChunks } from './combineChunks';
import { HttpReceiver, StreamReceiver } from './HttpReceiver';

abstract class BufferedReceiver extends HttpReceiver {
  readonly canRestart = true;

  protected token = '';

  protected events: GenerationEvent[] = [];

  /** Drops what a failed generation left. */
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

/** Answers with one JSON document. @internal */
export class BufferedDocumentReceiver extends BufferedReceiver {
  async end(): Promise<Response> {
    const answer = combineChunks(this.events.map(({ data }) => data));
    return this.context.json(answer, 200, { 'x-generation-token': this.token });
  }
}

/** Answers a caller that asked for a stream. @internal */
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
