/**
 * Segment of a stream: the part that one engine produces.
 */
import type { AnswerHead, CopyOutcome, KvCacheCopy } from '../../services';
import type { EndpointResponse } from './EndpointResponse';
import type { RequestReservation, EndpointReservation } from './EndpointPlacer';

/** Where a run continues after its engine has stopped or lost it. @internal */
export interface NextSegment {
  readonly placed: RequestReservation;
  /** KV cache copy to continue from; it may lack the newest tokens. */
  readonly continueFrom: KvCacheCopy;
  /** A later copy, used if the engine refuses the first one. */
  readonly laterCopy: Promise<KvCacheCopy | undefined> | undefined;
}

/** @internal */
export class StreamSegment {
  /** Set while the run is being migrated to another engine. */
  migration: Promise<NextSegment | undefined> | undefined;

  /** Answer to the order that stops the run on this engine; set once the order is sent. */
  stopOrder: Promise<CopyOutcome> | undefined;

  private readonly doneController = new AbortController();

  constructor(
    readonly placed: RequestReservation,
    readonly head: AnswerHead,
    readonly response: EndpointResponse,
    /** Reservation at the engine that receives a backup of the run's KV cache as it grows. */
    readonly backup: EndpointReservation | undefined,
  ) {}

  /** Aborts when the segment ends, whatever the reason. */
  get done(): AbortSignal {
    return this.doneController.signal;
  }

  end(): void {
    this.doneController.abort();
    this.placed.release();
    this.backup?.release();
  }

  /**
   * Whether the response may have ended because its run was stopped. A response without a length or
   * chunks ends in the same way when its run is complete; the engine then no longer knows the run.
   */
  async mayBeStopped(): Promise<boolean> {
    if (this.response.isFramed || !this.stopOrder) return false;
    return (await this.stopOrder).outcome !== 'no-such-run';
  }

  recordTokens(outputTokens: number): void {
    this.placed.recordTokens(outputTokens);
    this.backup?.recordTokens(outputTokens);
  }

  /** Starts timing the engine's next event. */
  markReadStart(): void {
    this.placed.markReadStart();
  }

  /** Releases the capacity that a migration has reserved and the run no longer needs. */
  async abandonMigration(): Promise<void> {
    (await this.migration)?.placed.release();
  }
}
