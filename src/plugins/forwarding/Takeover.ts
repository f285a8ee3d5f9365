/**
 * Takes a run over to another engine while its present engine still holds it.
 *
 * The connection to the present engine is closed only once the run is secured at the other one, and
 * then at once. Until then, an event of the present engine withdraws the attempt or waits for its
 * outcome, so that only one of the two engines feeds the caller at any time.
 */
import { ServingError } from '../../core';
import type { Kernel } from '../../kernel';
import type { AdmittedRequest } from './AdmittedRequest';
import { FORWARDING_OPTIONS } from './options';
import { probeEndpoint } from './probeEndpoint';
import type { SegmentOpener } from './SegmentOpener';
import type { NextSegment, StreamSegment } from './StreamSegment';
import type { StreamPosition } from './StreamProgress';

/** A stream whose segment is being forwarded. @internal */
export interface RunningStream {
  readonly admitted: AdmittedRequest;
  readonly segment: StreamSegment;
  readonly progress: StreamPosition;
}

/** @internal */
export type TakeoverOutcome = 'committed' | 'refused' | 'engine woke' | 'no answer';

/** @internal */
export abstract class Takeover {
  abstract readonly kind: 'from-copy' | 'new-run';

  private readonly withdrawal = new AbortController();

  private outcome: TakeoverOutcome | undefined;

  private opening: Promise<StreamSegment | undefined> = Promise.resolve(undefined);

  /** @param holdsEvents whether events of the present engine wait, or withdraw the attempt. */
  constructor(
    protected readonly kernel: Kernel,
    protected readonly opener: SegmentOpener,
    protected readonly stream: RunningStream,
    private readonly holdsEvents: boolean,
  ) {}

  /** The segment that takes over; undefined if the attempt has failed or was withdrawn. */
  get successor(): Promise<StreamSegment | undefined> {
    return this.opening;
  }

  get isOpen(): boolean {
    return this.outcome === undefined;
  }

  get isCommitted(): boolean {
    return this.outcome === 'committed';
  }

  /** Opens the next segment, and closes the connection to the present engine if it succeeds. */
  async run(): Promise<TakeoverOutcome> {
    const { clock } = this.kernel;
    const answered = new AbortController();
    this.opening = this.openAndCommit();
    void this.opening.finally(() => answered.abort());
    await clock.sleep(FORWARDING_OPTIONS.maxOverlapMs, answered.signal);
    if (this.isOpen && (await this.isAcceptedUnanswered())) this.commit();
    this.withdraw('no answer');
    return this.outcome ?? 'no answer';
  }

  /** Returns whether the present engine's next event may be forwarded. */
  async letEventPass(): Promise<boolean> {
    if (this.holdsEvents) await this.opening;
    else this.withdraw('engine woke');
    return !this.isCommitted;
  }

  /** Closes the connection to the present engine; from now on only the other one counts. */
  commit(): void {
    if (!this.isOpen) return;
    this.outcome = 'committed';
    this.stream.segment.response.abort();
  }

  /** Ends an attempt or a segment that is no longer needed, as the stream has ended. */
  async discard(): Promise<void> {
    this.withdraw('engine woke');
    (await this.opening)?.discard();
  }

  protected abstract open(signal: AbortSignal): Promise<StreamSegment | undefined>;

  /** Whether the other engine counts as having accepted the run although it hasn't answered yet. */
  protected async isAcceptedUnanswered(): Promise<boolean> {
    return false;
  }

  private withdraw(outcome: TakeoverOutcome): void {
    if (!this.isOpen) return;
    this.outcome = outcome;
    this.withdrawal.abort();
  }

  private async openAndCommit(): Promise<StreamSegment | undefined> {
    const signal = AbortSignal.any([this.stream.admitted.signal, this.withdrawal.signal]);
    const segment = await this.openOrLog(signal);
    if (!segment) {
      this.outcome ??= 'refused';
      return undefined;
    }
    this.commit();
    if (this.isCommitted) return segment;
    segment.discard();
    return undefined;
  }

  private async openOrLog(signal: AbortSignal): Promise<StreamSegment | undefined> {
    try {
      return await this.open(signal);
    } catch (thrown) {
      const { detail } = ServingError.from(thrown);
      this.kernel.log.error('takeover failed', { detail, cause: thrown });
      return undefined;
    }
  }
}

/** Continues the same run from a copy of its KV cache. @internal */
export class CopyTakeover extends Takeover {
  override readonly kind = 'from-copy';

  constructor(
    kernel: Kernel,
    opener: SegmentOpener,
    stream: RunningStream,
    private readonly next: NextSegment,
    holdsEvents: boolean,
  ) {
    super(kernel, opener, stream, holdsEvents);
  }

  protected override async open(signal: AbortSignal): Promise<StreamSegment | undefined> {
    const { admitted, progress } = this.stream;
    return this.opener.openFromCopy(admitted, this.next, progress, signal);
  }
}

/** Starts a new run that resumes after the last event. @internal */
export class NewRunTakeover extends Takeover {
  override readonly kind = 'new-run';

  private isReachable: Promise<boolean> = Promise.resolve(false);

  protected override async open(signal: AbortSignal): Promise<StreamSegment | undefined> {
    const { admitted, progress, segment } = this.stream;
    const placed = this.opener.placeNewRun(admitted, segment.placed.backEnd.endpointId);
    if (placed) this.isReachable = this.probe(placed.backEnd.address);
    return placed && this.opener.openNewRun(admitted, placed, progress, signal);
  }

  /** The first answer needs the prefill of the whole prompt, which takes longer than a refusal. */
  protected override async isAcceptedUnanswered(): Promise<boolean> {
    return this.isReachable;
  }

  /** Runs beside the attempt, as the engines may not overlap for longer. */
  private async probe(address: string): Promise<boolean> {
    return (await probeEndpoint(address)) === 'accepted';
  }
}
