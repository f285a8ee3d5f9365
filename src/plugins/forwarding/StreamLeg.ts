/**
 * The part of a stream that one engine makes.
 */
import type { AnswerHead, KvCacheCopy } from '../../services';
import type { EndpointAnswer } from './EndpointAnswer';
import type { PlacedRequest, PlacedRoom } from './EndpointPlacer';

/** Where a run goes on after its engine has given it up. @internal */
export interface NextLeg {
  readonly placed: PlacedRequest;
  /** Copy from which to go on; one that was made a little earlier lacks the newest tokens. */
  readonly continueFrom: KvCacheCopy;
  /** A later copy, to be used when the first is refused. */
  readonly laterCopy: Promise<KvCacheCopy | undefined> | undefined;
}

/** @internal */
export class StreamLeg {
  /** Set when the run is being moved to another engine. */
  move: Promise<NextLeg | undefined> | undefined;

  private readonly endedController = new AbortController();

  constructor(
    readonly placed: PlacedRequest,
    readonly head: AnswerHead,
    readonly answer: EndpointAnswer,
    /** Room at the engine that gets a copy of the run's memory as it grows. */
    readonly copy: PlacedRoom | undefined,
  ) {}

  /** Aborted when the engine's part is over, however it ended. */
  get ended(): AbortSignal {
    return this.endedController.signal;
  }

  end(): void {
    this.endedController.abort();
    this.placed.release();
    this.copy?.release();
  }

  noteTokens(outputTokens: number): void {
    this.placed.noteTokens(outputTokens);
    this.copy?.noteTokens(outputTokens);
  }

  /** The node waits for the engine's next event from now on. */
  noteReading(): void {
    this.placed.noteReading();
  }

  /** Frees what a move has reserved for a run that doesn't need it any more. */
  async abandonMove(): Promise<void> {
    (await this.move)?.placed.release();
  }
}
