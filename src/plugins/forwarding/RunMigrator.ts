/**
 * Moves runs from engines that are leaving to other engines.
 *
 * A run with a backup is taken over by the engine of the backup while its own engine still serves. If
 * that engine refuses it, or there is no backup, the run is migrated: the KV cache is copied while the
 * run continues. Then the engine is told to stop the run, and the run continues from the copy at the
 * other engine, which prefills only the tokens produced since.
 */
import { request as sendRequest } from 'undici';
import { ServingError, type EndpointId } from '../../core';
import type { Kernel } from '../../kernel';
import {
  Deployment,
  RequestDialect,
  type KvCacheCopy,
  type CopyOutcome,
  type KnownBackEnd,
} from '../../services';
import { pairHeaders, readBoundedText } from '../../wire';
import type { AdmittedRequest } from './AdmittedRequest';
import type { KeptBody } from './CallerBody';
import type { EndpointPlacer, RequestReservation } from './EndpointPlacer';
import { FORWARDING_OPTIONS } from './options';
import type { OutputEstimator } from './OutputEstimator';
import { QuarantineGuard } from './QuarantineGuard';
import type { RetryPolicy } from './RetryPolicy';
import type { SegmentOpener } from './SegmentOpener';
import type { NextSegment, StreamSegment } from './StreamSegment';
import { CopyTakeover, type RunningStream, type TakeoverOutcome } from './Takeover';

/** @internal */
export class RunMigrator {
  private readonly running = new Set<RunningStream>();

  private readonly guard: QuarantineGuard;

  constructor(
    private readonly kernel: Kernel,
    private readonly placer: EndpointPlacer,
    private readonly estimator: OutputEstimator,
    private readonly retries: RetryPolicy,
    private readonly opener: SegmentOpener,
  ) {
    this.guard = new QuarantineGuard(kernel);
  }

  /** Tracks a stream until its segment ends, and migrates it when its engine starts to leave. */
  track(stream: RunningStream): void {
    this.running.add(stream);
    stream.segment.done.addEventListener('abort', () => this.running.delete(stream), {
      once: true,
    });
    const { endpointId } = stream.segment.placed.backEnd;
    const known = this.kernel.get(Deployment).find(endpointId);
    if (known?.leavingSinceMs !== undefined) this.start(stream);
  }

  /**
   * Starts to migrate every stream on an engine. The smallest KV caches go first, so that as many
   * streams as possible are migrated in time.
   */
  migrateAll({ endpointId, startedAtWallMs }: KnownBackEnd): void {
    [...this.running]
      .filter(({ segment }) => {
        const { backEnd } = segment.placed;
        return backEnd.endpointId === endpointId && backEnd.startedAtWallMs === startedAtWallMs;
      })
      .map((stream) => ({ stream, heldTokens: this.countHeldTokens(stream) }))
      .sort((a, b) => a.heldTokens - b.heldTokens)
      .forEach(({ stream }) => {
        this.start(stream);
      });
  }

  private countHeldTokens({ admitted, progress }: RunningStream): number {
    return (admitted.work.prompt?.promptTokens ?? 0) + progress.outputTokens;
  }

  private estimateRemaining({ admitted, progress }: RunningStream): number {
    return this.estimator.getRemaining(admitted.work, progress.outputTokens);
  }

  private start(stream: RunningStream): void {
    const { admitted, segment } = stream;
    if (segment.migration || segment.done.aborted) return;
    const profile = admitted.work.configuration.services.get(admitted.work.service)?.engine;
    if (!profile?.canMigrate || !admitted.work.prompt) return;
    // The other engine could crash; where the run is, it has begun well.
    if (this.guard.findRefusal(admitted)) return;
    segment.migration = this.move(stream);
  }

  /**
   * Lets the backup's engine take the run over, or else migrates it; both need this engine, so they
   * can't wait until it ends. A run that is nearly done first gets some time to finish here. One whose
   * body isn't kept stays, as no other engine could be sent its request.
   */
  private async move(stream: RunningStream): Promise<NextSegment | undefined> {
    const { segment } = stream;
    await this.waitUntilMovable(stream);
    const { minMigrationTokens, nearlyDoneGraceMs } = FORWARDING_OPTIONS;
    if (this.estimateRemaining(stream) < minMigrationTokens) {
      await this.kernel.clock.sleep(nearlyDoneGraceMs, segment.done);
    }
    if (this.findBackupEngine(stream)) await this.takeOverAtBackup(stream);
    return this.mayMove(stream) ? this.migrate(stream) : undefined;
  }

  /**
   * An engine may begin to answer before the whole body has arrived, and a request under which an
   * endpoint has crashed has to show output first.
   */
  private async waitUntilMovable({ admitted, segment, progress }: RunningStream): Promise<void> {
    const isMovable = (): boolean =>
      !admitted.body.isArriving && this.guard.hasShownOutput(admitted, progress.outputTokens);
    while (segment.isCurrent && !isMovable()) {
      await this.kernel.clock.sleep(FORWARDING_OPTIONS.migrationRetryMs, segment.done);
    }
  }

  /** Whether the run is still on its engine, and no part of its prompt was quarantined meanwhile. */
  private mayMove({ admitted, segment, progress }: RunningStream): boolean {
    return segment.isCurrent && !this.guard.findMoveRefusal(admitted, progress.outputTokens);
  }

  private async takeOverAtBackup(stream: RunningStream): Promise<void> {
    const { segment } = stream;
    await this.waitForOpenTakeover(segment);
    const next = this.mayMove(stream) ? this.recover(stream) : undefined;
    if (next) await this.runTakeover(stream, next, 'engine leaving');
  }

  /** Only one attempt to take a run over is made at a time; a silent engine causes some as well. */
  private async waitForOpenTakeover(segment: StreamSegment): Promise<void> {
    while (segment.isCurrent && segment.takeover?.isOpen) {
      await this.kernel.clock.sleep(FORWARDING_OPTIONS.migrationRetryMs, segment.done);
    }
  }

  /**
   * Returns the next segment of a run whose engine is leaving, silent or lost, if another engine has a
   * backup and the retry budget allows it.
   */
  recover(stream: RunningStream): NextSegment | undefined {
    const { admitted, progress } = stream;
    const engine = this.findBackupEngine(stream);
    if (!engine) return undefined;
    const placed = this.placer.placeAtBackup(admitted.work, engine, progress.outputTokens);
    if (!placed) return undefined;
    const body = this.keepBody(stream);
    if (!body || !this.retries.takeFromBudget(admitted.work.service)) {
      body?.release();
      placed.release();
      return undefined;
    }
    const handle = this.kernel.get(RequestDialect).getBackupHandle(admitted.request.requestId);
    const continueFrom = { address: engine.address, handle };
    return { placed, body, continueFrom, laterCopy: undefined };
  }

  private keepBody({ admitted, segment, progress }: RunningStream): KeptBody | undefined {
    const body = admitted.body.keep();
    if (body) return body;
    this.kernel.log.info('decision', {
      requestId: admitted.request.requestId,
      step: 'place',
      what: 'continue the run on another engine',
      from: segment.placed.backEnd.endpointId,
      outcome: `stays: ${admitted.body.missingReason}`,
      outputTokens: progress.outputTokens,
    });
    return undefined;
  }

  private findBackupEngine({ admitted, segment }: RunningStream): KnownBackEnd | undefined {
    const backEnd = segment.backup?.backEnd;
    return backEnd && this.placer.mayUse(admitted.work, backEnd) ? backEnd : undefined;
  }

  private async migrate(stream: RunningStream): Promise<NextSegment | undefined> {
    // Kept from here on: a run that was stopped can't go on without its body.
    const body = this.keepBody(stream);
    if (!body) return undefined;
    const next = await this.copyToOtherEngine(stream, body);
    if (!next) body.release();
    return next;
  }

  private async copyToOtherEngine(
    stream: RunningStream,
    body: KeptBody,
  ): Promise<NextSegment | undefined> {
    const { segment } = stream;
    const from = segment.placed.backEnd;
    let refusedBy: ReadonlyArray<EndpointId> = [];
    while (!segment.done.aborted) {
      const placed = this.placeOnOtherEngine(stream, [from.endpointId, ...refusedBy]);
      if (placed) {
        const first = await this.copy(stream, placed.backEnd, false);
        // The copy takes a while, in which the other engine may have begun to leave as well, its data
        // centre may have been evacuated, or the allowed regions may have changed.
        const mayUse = this.placer.mayUse(stream.admitted.work, placed.backEnd);
        if (first.outcome === 'copied' && mayUse) {
          return this.handOver(stream, placed, body, first.handle);
        }
        placed.release();
        if (first.outcome === 'no-such-run') return undefined;
        refusedBy = [...refusedBy, placed.backEnd.endpointId];
      } else {
        // Every engine has refused; other migrations may free capacity before this engine is gone.
        if (refusedBy.length === 0) return undefined;
        refusedBy = [];
        await this.kernel.clock.sleep(FORWARDING_OPTIONS.migrationRetryMs, segment.done);
      }
    }
    return undefined;
  }

  /** Stops the run on its engine. The stream closes incomplete, and the next segment takes over. */
  private handOver(
    stream: RunningStream,
    placed: RequestReservation,
    body: KeptBody,
    handle: string,
  ): NextSegment {
    const { segment } = stream;
    const continueFrom = { address: segment.placed.backEnd.address, handle };
    const laterCopy = segment.done.aborted
      ? Promise.resolve(undefined)
      : this.stop(stream, { placed, body, continueFrom, laterCopy: undefined });
    return { placed, body, continueFrom, laterCopy };
  }

  private async stop(stream: RunningStream, next: NextSegment): Promise<KvCacheCopy | undefined> {
    const { segment } = stream;
    segment.stopOrder = this.copy(stream, next.placed.backEnd, true);
    const last = await segment.stopOrder;
    const handle = 'handle' in last ? last.handle : undefined;
    if (handle !== undefined) {
      // The run has stopped even if the rest could not be copied.
      if (last.outcome !== 'copied') segment.response.abort();
      return { address: segment.placed.backEnd.address, handle };
    }
    // A run that has ended closes its stream; one that may go on keeps it until it is taken over.
    if (last.outcome !== 'no-such-run') {
      this.kernel.runTask('take over unstopped run', async () => this.takeOver(stream, next));
    }
    return undefined;
  }

  /** Continues from the first copy, or leaves the run where it is and tries to migrate it again. */
  private async takeOver(stream: RunningStream, next: NextSegment): Promise<void> {
    const { segment } = stream;
    if (segment.done.aborted || segment.takeover?.isOpen) return;
    // The migration keeps the body for the case that the engine ends meanwhile.
    const shared = { ...next, body: next.body.share() };
    const outcome = await this.runTakeover(stream, shared, 'run not stopped');
    if (outcome === 'committed') return;
    await this.kernel.clock.sleep(FORWARDING_OPTIONS.takeoverPauseMs, segment.done);
    segment.migration = undefined;
    next.body.release();
    this.start(stream);
  }

  /** Runs an attempt; the events of the present engine wait for its outcome. */
  private async runTakeover(
    stream: RunningStream,
    next: NextSegment,
    what: 'engine leaving' | 'run not stopped',
  ): Promise<TakeoverOutcome> {
    const { admitted, segment } = stream;
    const takeover = new CopyTakeover(this.kernel, this.opener, stream, next, true);
    segment.takeover = takeover;
    const outcome = await takeover.run();
    this.kernel.log.warn('decision', {
      requestId: admitted.request.requestId,
      step: 'place',
      what,
      from: segment.placed.backEnd.endpointId,
      outcome: outcome === 'committed' ? `taken over: ${takeover.kind}` : `stays: ${outcome}`,
    });
    return outcome;
  }

  private placeOnOtherEngine(
    { admitted, segment, progress }: RunningStream,
    excluded: ReadonlyArray<EndpointId>,
  ): RequestReservation | undefined {
    const from = segment.placed.backEnd;
    try {
      return this.placer.place(admitted.work, excluded, 'place', progress.outputTokens, from);
    } catch {
      // The placer has logged the reason.
      return undefined;
    }
  }

  /** Orders the engine to copy the KV cache; a failure of the call counts as a refusal. */
  private async copy(
    stream: RunningStream,
    to: KnownBackEnd,
    isLast: boolean,
  ): Promise<CopyOutcome> {
    const { clock, log } = this.kernel;
    const startedAtMs = clock.nowMs();
    const from = stream.segment.placed.backEnd;
    let outcome: CopyOutcome = { outcome: 'no-room', handle: undefined };
    let reason: string | undefined;
    try {
      outcome = await this.sendCopyOrder(stream.admitted, from, to, isLast);
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
      outputTokens: stream.progress.outputTokens,
    });
    return outcome;
  }

  private async sendCopyOrder(
    { request }: AdmittedRequest,
    from: KnownBackEnd,
    to: KnownBackEnd,
    isLast: boolean,
  ): Promise<CopyOutcome> {
    const dialect = this.kernel.get(RequestDialect);
    const call = dialect.writeCopyOrder(request.requestId, to.address, isLast);
    const response = await sendRequest(`http://${from.address}${call.target}`, {
      method: call.method as 'POST',
      headers: { 'content-type': 'application/json' },
      body: call.body,
      signal: AbortSignal.timeout(FORWARDING_OPTIONS.copyTimeoutMs),
      responseHeaders: 'raw',
    });
    const headers = pairHeaders(response.headers as unknown as ReadonlyArray<string>);
    const text = await readBoundedText(response.body, FORWARDING_OPTIONS.maxCopyAnswerBytes);
    const outcome = dialect.readCopyAnswer(response.statusCode, text);
    // Only the engine of the run knows it; the address may belong to another one by now.
    const knowsRun = outcome.outcome === 'copied' || outcome.outcome === 'busy';
    if (knowsRun && dialect.saysLeaving(headers)) {
      this.kernel.get(Deployment).recordLeavingAnswer(from);
    }
    return outcome;
  }
}
