/**
 * The part of a stream that one engine makes.
 */
import type { AnswerHead, KvCacheCopy } from '../../services';
import type { EndpointResponse } from './EndpointResponse';
import type { RequestReservation, EndpointReservation } from './EndpointPlacer';

/** Where a run goes on after its engine has given it up. @internal */
export interface NextSegment {
  readonly placed: RequestReservation;
  /** Copy from which to go on; one that was made a little earlier lacks the newest tokens. */
  readonly continueFrom: KvCacheCopy;
  /** A later copy, to be used when the first is refused. */
  readonly laterCopy: Promise<KvCacheCopy | undefined> | undefined;
}

/** @internal */
export class StreamSegment {
  /** Set when the run is being moved to another engine. */
  migration: Promise<NextSegment | undefined> | undefined;

  private readonly endedController = new AbortController();

  constructor(
    readonly placed: RequestReservation,
    readonly head: AnswerHead,
    readonly response: EndpointResponse,
    /** Room at the engine that gets a copy of the run's memory as it grows. */
    readonly copy: EndpointReservation | undefined,
  ) {}

  /** Aborted when the engine's part is over, however it ended. */
  get done(): AbortSignal {
    return this.endedController.signal;
  }

  end(): void {
    this.endedController.abort();
    this.placed.release();
    this.copy?.release();
  }

  recordTokens(outputTokens: number): void {
    this.placed.recordTokens(outputTokens);
    this.copy?.recordTokens(outputTokens);
  }

  /** The node waits for the engine's next event from now on. */
  markReadStart(): void {
    this.placed.markReadStart();
  }

  /** Frees what a move has reserved for a run that doesn't need it any more. */
  async abandonMigration(): Promise<void> {
    (await this.migration)?.placed.release();
  }
}
