/**
 * Segment of a stream: the part that one engine produces.
 */
import type { AnswerHead, CopyOutcome, KvCacheCopy } from '../../services';
import type { KeptBody } from './CallerBody';
import type { EndpointResponse } from './EndpointResponse';
import type { RequestReservation, EndpointReservation } from './EndpointPlacer';
import type { Takeover } from './Takeover';

/** Where a run continues after its engine has stopped or lost it. @internal */
export interface NextSegment {
  readonly placed: RequestReservation;
  /** Body of the request, which the next engine gets as well. */
  readonly body: KeptBody;
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

  /** The last attempt to take the run over to another engine. */
  takeover: Takeover | undefined;

  /** Monotonic time since which the next event is awaited; undefined while one is forwarded. */
  private waitingSinceMs: number | undefined;

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

  /** Whether the run is still on this engine: it hasn't ended, and no other engine has it. */
  get isCurrent(): boolean {
    return !this.done.aborted && !this.takeover?.isCommitted;
  }

  /** Returns how long the next event has been awaited; 0 while the caller is slow to read. */
  getWaitedMs(nowMs: number): number {
    return this.waitingSinceMs === undefined ? 0 : nowMs - this.waitingSinceMs;
  }

  /** Closes the connection, and ends the segment without forwarding it. */
  discard(): void {
    this.response.abort();
    this.end();
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
    const { outcome } = await this.stopOrder;
    return outcome === 'copied' || outcome === 'no-room';
  }

  recordTokens(outputTokens: number): void {
    this.waitingSinceMs = undefined;
    this.placed.recordTokens(outputTokens);
    this.backup?.recordTokens(outputTokens);
  }

  /** Records that this node is ready to read the engine's first event. */
  startWaiting(nowMs: number): void {
    this.waitingSinceMs = nowMs;
  }

  /** Starts timing the engine's next event. */
  markReadStart(nowMs: number): void {
    this.startWaiting(nowMs);
    this.placed.markReadStart();
  }

  /**
   * Releases the capacity and the body that a migration has reserved and the run no longer needs.
   * @param successor segment that has taken over; it may run in that capacity.
   */
  async abandonMigration(successor?: StreamSegment): Promise<void> {
    const next = await this.migration;
    next?.body.release();
    if (next?.placed !== successor?.placed) next?.placed.release();
  }

  /** Returns whether an event of this segment may be forwarded, or another one has taken over. */
  async letEventPass(): Promise<boolean> {
    return this.takeover === undefined || this.takeover.letEventPass();
  }
}
