/**
 * Moves runs away from engines that are leaving.
 *
 * The memory is copied while the run goes on. Then the engine is told to stop the run, and the same
 * run goes on at the other engine from the copy; it reads anew only what was made meanwhile.
 */
import { request as callEngine } from 'undici';
import { ServingError, type EndpointId } from '../../core';
import type { Kernel } from '../../kernel';
import {
  Deployment,
  RequestDialect,
  type KvCacheCopy,
  type CopyOutcome,
  type KnownBackEnd,
} from '../../services';
import type { AdmittedRequest } from './AdmittedRequest';
import type { EndpointPlacer, RequestReservation } from './EndpointPlacer';
import { FORWARDING_OPTIONS } from './options';
import type { OutputEstimator } from './OutputEstimator';
import type { NextSegment, StreamSegment } from './StreamSegment';

interface RunningStream {
  readonly admitted: AdmittedRequest;
  readonly leg: StreamSegment;
  readonly getOutputTokens: () => number;
}

/** @internal */
export class RunMigrator {
  private readonly running = new Set<RunningStream>();

  constructor(
    private readonly kernel: Kernel,
    private readonly placer: EndpointPlacer,
    private readonly expectation: OutputEstimator,
  ) {}

  /** Follows a stream until its leg ends; moves it when its engine leaves. */
  track(stream: RunningStream): void {
    this.running.add(stream);
    this.kernel.runTask('watch engine of stream', async () => this.watchSilence(stream));
    stream.leg.done.addEventListener('abort', () => this.running.delete(stream), { once: true });
    const { endpointId } = stream.leg.placed.backEnd;
    const known = this.kernel.get(Deployment).find(endpointId);
    if (known?.leavingSinceMs !== undefined) this.start(stream);
  }

  /** Gives up a stream on an engine that has gone silent, where it can go on elsewhere. */
  private async watchSilence(stream: RunningStream): Promise<void> {
    const { clock, log } = this.kernel;
    const { leg, admitted } = stream;
    const { endpointId } = leg.placed.backEnd;
    while (!leg.done.aborted) {
      await clock.sleep(FORWARDING_OPTIONS.silenceCheckIntervalMs, leg.done);
      if (leg.done.aborted || !this.placer.health.isSilent(endpointId, clock.nowMs())) continue;
      if (!this.canGoOn(stream)) continue;
      log.warn('decision', {
        requestId: admitted.request.requestId,
        step: 'retry',
        what: 'engine silent',
        from: endpointId,
        outputTokens: stream.getOutputTokens(),
      });
      leg.response.abort();
      return;
    }
  }

  /** Starts to move every stream on an engine; copies of little memory first, so that most get away. */
  migrateAll({ endpointId, startedAtWallMs }: KnownBackEnd): void {
    [...this.running]
      .filter(({ leg }) => {
        const { backEnd } = leg.placed;
        return backEnd.endpointId === endpointId && backEnd.startedAtWallMs === startedAtWallMs;
      })
      .map((stream) => ({ stream, heldTokens: this.countHeldTokens(stream) }))
      .sort((a, b) => a.heldTokens - b.heldTokens)
      .forEach(({ stream }) => {
        this.start(stream);
      });
  }

  private countHeldTokens({ admitted, getOutputTokens }: RunningStream): number {
    return (admitted.work.prompt?.promptTokens ?? 0) + getOutputTokens();
  }

  private expectRemaining({ admitted, getOutputTokens }: RunningStream): number {
    return this.expectation.getRemaining(admitted.work, getOutputTokens());
  }

  private start(stream: RunningStream): void {
    const { admitted, leg } = stream;
    if (leg.migration || leg.done.aborted) return;
    const profile = admitted.work.configuration.services.get(admitted.work.service)?.engine;
    if (!profile?.canMigrate || !admitted.work.prompt) return;
    leg.migration = this.moveWhenNeeded(stream);
  }

  /** Lets a run that is nearly done end where it is, and one that has a copy go on until it is lost. */
  private async moveWhenNeeded(stream: RunningStream): Promise<NextSegment | undefined> {
    const { leg } = stream;
    const { minMigrationTokens, nearlyDoneGraceMs } = FORWARDING_OPTIONS;
    if (this.findCopyHolder(leg)) return undefined;
    if (this.expectRemaining(stream) < minMigrationTokens) {
      await this.kernel.clock.sleep(nearlyDoneGraceMs, leg.done);
    }
    return this.move(stream);
  }

  /** Whether the stream could go on elsewhere if its engine were lost now. */
  canGoOn({ admitted, leg }: RunningStream): boolean {
    return admitted.route.isResumable || this.findCopyHolder(leg) !== undefined;
  }

  /** The next leg of a run whose engine was lost, where another engine has a copy. */
  recover({ admitted, leg, getOutputTokens }: RunningStream): NextSegment | undefined {
    const holder = this.findCopyHolder(leg);
    if (!holder) return undefined;
    const placed = this.placer.placeAtCopy(admitted.work, holder, getOutputTokens());
    const handle = this.kernel.get(RequestDialect).getBackupHandle(admitted.request.requestId);
    return { placed, continueFrom: { address: holder.address, handle }, laterCopy: undefined };
  }

  private findCopyHolder({ copy }: StreamSegment): KnownBackEnd | undefined {
    if (!copy) return undefined;
    const known = this.kernel.get(Deployment).find(copy.backEnd.endpointId);
    const isSame = known?.startedAtWallMs === copy.backEnd.startedAtWallMs;
    return isSame && known.leavingSinceMs === undefined ? known : undefined;
  }

  private async move(stream: RunningStream): Promise<NextSegment | undefined> {
    const { leg } = stream;
    const from = leg.placed.backEnd;
    let refusedBy: ReadonlyArray<EndpointId> = [];
    while (!leg.done.aborted) {
      const placed = this.placeElsewhere(stream, [from.endpointId, ...refusedBy]);
      if (placed) {
        const first = await this.copy(stream, placed.backEnd, false);
        if (first.outcome === 'copied') return this.handOver(stream, placed, first.handle);
        placed.release();
        if (first.outcome === 'no-such-run') return undefined;
        refusedBy = [...refusedBy, placed.backEnd.endpointId];
      } else {
        // Every engine has refused; others' moves may free room until this engine is gone.
        if (refusedBy.length === 0) return undefined;
        refusedBy = [];
        await this.kernel.clock.sleep(FORWARDING_OPTIONS.migrationRetryMs, leg.done);
      }
    }
    return undefined;
  }

  /** Stops the run where it is. Its stream closes without an end, and the next leg takes over. */
  private handOver(stream: RunningStream, placed: RequestReservation, handle: string): NextSegment {
    const { leg } = stream;
    const { address } = leg.placed.backEnd;
    const laterCopy = leg.done.aborted
      ? Promise.resolve(undefined)
      : this.stop(stream, placed.backEnd);
    return { placed, continueFrom: { address, handle }, laterCopy };
  }

  private async stop(stream: RunningStream, to: KnownBackEnd): Promise<KvCacheCopy | undefined> {
    const { leg } = stream;
    const last = await this.copy(stream, to, true);
    // Unless the engine says that it has stopped the run, closing the stream makes it stop.
    if (last.outcome !== 'copied') leg.response.abort();
    const handle = 'handle' in last ? last.handle : undefined;
    return handle === undefined ? undefined : { address: leg.placed.backEnd.address, handle };
  }

  private placeElsewhere(
    { admitted, leg, getOutputTokens }: RunningStream,
    excluded: ReadonlyArray<EndpointId>,
  ): RequestReservation | undefined {
    const from = leg.placed.backEnd;
    try {
      return this.placer.place(admitted.work, excluded, 'place', getOutputTokens(), from);
    } catch {
      // The placement has logged why.
      return undefined;
    }
  }

  /** Orders a copy; a failure of the call counts as a refusal. */
  private async copy(
    stream: RunningStream,
    to: KnownBackEnd,
    isLast: boolean,
  ): Promise<CopyOutcome> {
    const { clock, log } = this.kernel;
    const startedAtMs = clock.nowMs();
    const from = stream.leg.placed.backEnd;
    let outcome: CopyOutcome = { outcome: 'no-room', handle: undefined };
    let reason: string | undefined;
    try {
      outcome = await this.callCopy(stream.admitted, from, to, isLast);
    } catch (thrown) {
      reason = ServingError.from(thrown).detail;
    }
    log.info('decision', {
      requestId: stream.admitted.request.requestId,
      step: 'place',
      what: isLast ? 'stop and copy the rest' : 'copy',
      from: from.endpointId,
      to: to.endpointId,
      outcome: reason === undefined ? outcome.outcome : 'failed',
      reason,
      tookMs: Math.round(clock.nowMs() - startedAtMs),
      outputTokens: stream.getOutputTokens(),
    });
    return outcome;
  }

  private async callCopy(
    { request }: AdmittedRequest,
    from: KnownBackEnd,
    to: KnownBackEnd,
    isLast: boolean,
  ): Promise<CopyOutcome> {
    const dialect = this.kernel.get(RequestDialect);
    const call = dialect.writeCopyOrder(request.requestId, to.address, isLast);
    const answer = await callEngine(`http://${from.address}${call.target}`, {
      method: call.method as 'POST',
      headers: { 'content-type': 'application/json' },
      body: call.body,
      signal: AbortSignal.timeout(FORWARDING_OPTIONS.copyTimeoutMs),
    });
    return dialect.readCopyAnswer(answer.statusCode, await answer.body.text());
  }
}
