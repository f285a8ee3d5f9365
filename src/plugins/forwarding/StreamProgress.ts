/**
 * The part of a stream that has been forwarded to the caller.
 */
import type { AnswerHead } from '../../services';
import type { CompleteEvents } from './EventSplitter';

/** Where a stream would have to be continued. @internal */
export interface StreamPosition {
  readonly lastEventId: string | undefined;
  readonly outputTokens: number;
}

/** @internal */
export class StreamProgress implements StreamPosition {
  head: AnswerHead | undefined;

  private lastId: string | undefined;

  private events = 0;

  constructor(private readonly tokensPerEvent: number) {}

  get lastEventId(): string | undefined {
    return this.lastId;
  }

  get outputTokens(): number {
    return this.events * this.tokensPerEvent;
  }

  record({ lastEventId, count }: CompleteEvents): void {
    this.lastId = lastEventId ?? this.lastId;
    this.events += count;
  }
}
