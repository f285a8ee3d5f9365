/**
 * Opens segments of streams: runs from the beginning, runs that continue from a copy of their KV
 * cache, and new runs that resume after an event.
 */
import type { EndpointId } from '../../core';
import type { KnownBackEnd } from '../../services';
import type { AdmittedRequest } from './AdmittedRequest';
import type { SendableBody } from './CallerBody';
import type { CrashReporter } from './CrashReporter';
import type { EndpointPlacer, RequestReservation } from './EndpointPlacer';
import { isSuccess, type EndpointSender, type RunContinuation } from './EndpointSender';
import { StreamSegment, type NextSegment } from './StreamSegment';
import type { StreamPosition } from './StreamProgress';

/** @internal */
export type UnansweredOutcome = Exclude<
  Awaited<ReturnType<EndpointSender['send']>>,
  { readonly outcome: 'answered' }
>;

interface OpenOptions {
  readonly continuation?: RunContinuation;
  readonly producedTokens?: number;
  readonly signal?: AbortSignal;
}

/** @internal */
export class SegmentOpener {
  constructor(
    private readonly placer: EndpointPlacer,
    private readonly sender: EndpointSender,
    private readonly crashes: CrashReporter,
  ) {}

  /** Whether any endpoint of the request's service accepts connections of this node. */
  reaches(admitted: AdmittedRequest): boolean {
    return this.sender.reaches(admitted);
  }

  /** Sends the request to the endpoint where it was placed; releases that place without an answer. */
  async open(
    admitted: AdmittedRequest,
    body: SendableBody,
    placed: RequestReservation,
    { continuation, producedTokens = 0, signal = admitted.signal }: OpenOptions = {},
  ): Promise<StreamSegment | UnansweredOutcome> {
    // A migration is placed some time before it is sent.
    if (!placed.mayWrite()) {
      placed.release();
      return { outcome: 'not-run', reason: 'the quota of the endpoint is used up', wasSent: false };
    }
    const target = admitted;
    const sentToBefore = admitted.sentTo;
    target.sentTo = [...new Set([...sentToBefore, placed.backEnd.endpointId])];
    const copy = admitted.isTrial
      ? undefined
      : this.placer.placeBackup(admitted.work, placed.backEnd, producedTokens);
    const sent = await this.sender.send(admitted, body, placed.backEnd, signal, {
      continuation,
      backUpTo: copy?.backEnd.address,
      markWriting: placed.markWriting,
    });
    if (sent.outcome === 'answered') return new StreamSegment(placed, sent.head, sent.answer, copy);
    placed.release();
    copy?.release();
    // A continuation that was refused is no run, and one from a copy is the same run: both leave the
    // route its number of endpoints.
    const isRefused = sent.outcome === 'not-run' && (!sent.wasSent || continuation !== undefined);
    if (isRefused || continuation?.continueFrom) target.sentTo = sentToBefore;
    if (sent.outcome === 'lost' && !signal.aborted) {
      await this.reportCrash(admitted, placed.backEnd, false, undefined);
    }
    return sent;
  }

  /** Continues a run from a copy of its KV cache; undefined if the engine refuses or fails. */
  async openFromCopy(
    admitted: AdmittedRequest,
    next: NextSegment,
    position: StreamPosition,
    signal = admitted.signal,
  ): Promise<StreamSegment | undefined> {
    try {
      return await this.openFromEitherCopy(admitted, next, position, signal);
    } finally {
      next.body.release();
    }
  }

  private async openFromEitherCopy(
    admitted: AdmittedRequest,
    { placed, body, continueFrom, laterCopy }: NextSegment,
    { lastEventId, outputTokens }: StreamPosition,
    signal: AbortSignal,
  ): Promise<StreamSegment | undefined> {
    if (!this.placer.mayContinueAt(placed.backEnd)) {
      placed.release();
      return undefined;
    }
    const options = { producedTokens: outputTokens, signal };
    const sent = await this.open(admitted, body, placed, {
      ...options,
      continuation: { continueFrom, lastEventId },
    });
    if (sent instanceof StreamSegment) return this.checkContinued(sent, signal);
    const later = await laterCopy;
    if (!later || sent.outcome === 'lost') return undefined;
    // The refusal has released the place.
    const placedAgain = this.placer.placeAgain(admitted.work, placed.backEnd, outputTokens);
    if (!placedAgain) return undefined;
    const again = await this.open(admitted, body, placedAgain, {
      ...options,
      continuation: { continueFrom: later, lastEventId },
    });
    return again instanceof StreamSegment ? this.checkContinued(again, signal) : undefined;
  }

  /** Chooses an endpoint for a new run, other than the one that runs or has lost it. */
  placeNewRun(admitted: AdmittedRequest, from: EndpointId): RequestReservation | undefined {
    try {
      return this.placer.place(admitted.work, [from], 'retry');
    } catch {
      // The placer has logged the reason; its refusal would deny the run that was lost.
      return undefined;
    }
  }

  /** Starts a new run that resumes after the last event; undefined if the engine doesn't take it. */
  async openNewRun(
    admitted: AdmittedRequest,
    placed: RequestReservation,
    { lastEventId }: StreamPosition,
    signal = admitted.signal,
  ): Promise<StreamSegment | undefined> {
    const body = admitted.body.keep();
    if (!body) {
      placed.release();
      return undefined;
    }
    try {
      const continuation = { continueFrom: undefined, lastEventId };
      const sent = await this.open(admitted, body, placed, { continuation, signal });
      return sent instanceof StreamSegment ? this.checkContinued(sent, signal) : undefined;
    } finally {
      body.release();
    }
  }

  async reportCrash(
    admitted: AdmittedRequest,
    backEnd: KnownBackEnd,
    hadHead: boolean,
    outputSinceMs: number | undefined,
  ): Promise<void> {
    await this.crashes.reportLoss(admitted, backEnd, { hadHead, outputSinceMs });
  }

  private checkContinued(segment: StreamSegment, signal: AbortSignal): StreamSegment | undefined {
    if (isSuccess(segment.head) && !signal.aborted) return segment;
    segment.discard();
    return undefined;
  }
}
