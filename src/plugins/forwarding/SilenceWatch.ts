/**
 * Watches streams for engines that have become silent, and takes their runs over to other engines.
 *
 * A sound engine may be silent for a moment. The stream stays with it unless another engine has
 * taken the run over, and failed attempts are repeated with growing pauses.
 */
import type { Kernel } from '../../kernel';
import { HEALTH_OPTIONS } from '../../decisions';
import { ServingMetrics } from '../../services';
import type { EndpointPlacer } from './EndpointPlacer';
import { FORWARDING_OPTIONS } from './options';
import { QuarantineGuard } from './QuarantineGuard';
import type { RetryPolicy } from './RetryPolicy';
import type { RunMigrator } from './RunMigrator';
import type { SegmentOpener } from './SegmentOpener';
import { CopyTakeover, NewRunTakeover, type RunningStream, type Takeover } from './Takeover';

/** Result of one attempt: the run is taken over, or the reason why the stream stays. */
type WatchResult =
  | { readonly result: 'taken-over'; readonly kind: Takeover['kind'] }
  | { readonly result: 'stays'; readonly reason: string };

/** @internal */
export class SilenceWatch {
  private readonly guard: QuarantineGuard;

  constructor(
    private readonly kernel: Kernel,
    private readonly placer: EndpointPlacer,
    private readonly retries: RetryPolicy,
    private readonly migrator: RunMigrator,
    private readonly opener: SegmentOpener,
  ) {
    this.guard = new QuarantineGuard(kernel);
  }

  /** Watches a stream until its segment ends. */
  track(stream: RunningStream): void {
    this.kernel.runTask('watch engine of stream', async () => this.watch(stream));
  }

  private async watch(stream: RunningStream): Promise<void> {
    const { clock } = this.kernel;
    const { silenceCheckIntervalMs, maxTakeoverPauseMs } = FORWARDING_OPTIONS;
    const { done } = stream.segment;
    let pauseMs: number = FORWARDING_OPTIONS.takeoverPauseMs;
    while (!done.aborted) {
      await clock.sleep(silenceCheckIntervalMs, done);
      if (done.aborted || !this.isSilent(stream)) continue;
      const result = await this.takeOver(stream);
      this.report(stream, result);
      if (result.result === 'taken-over') return;
      await clock.sleep(pauseMs, done);
      pauseMs = Math.min(pauseMs * 2, maxTakeoverPauseMs);
    }
  }

  /** A caller that is slow to read keeps the node from reading; its engine isn't silent then. */
  private isSilent({ segment }: RunningStream): boolean {
    const nowMs = this.kernel.clock.nowMs();
    return (
      segment.getWaitedMs(nowMs) > HEALTH_OPTIONS.silentAfterMs &&
      this.placer.health.isSilent(segment.placed.backEnd.endpointId, nowMs)
    );
  }

  private async takeOver(stream: RunningStream): Promise<WatchResult> {
    if (stream.segment.takeover?.isOpen) return { result: 'stays', reason: 'is being moved' };
    const { admitted, progress } = stream;
    const reason = this.guard.findMoveRefusal(admitted, progress.outputTokens);
    if (reason !== undefined) return { result: 'stays', reason };
    const fromCopy = this.createCopyTakeover(stream);
    const first = await this.run(stream, fromCopy);
    if (first?.result === 'taken-over' || (first && first.reason !== 'refused')) return first;
    const second = await this.run(stream, this.createNewRunTakeover(stream));
    return second ?? first ?? { result: 'stays', reason: 'no copy, no budget or no other engine' };
  }

  private async run(
    { segment }: RunningStream,
    takeover: Takeover | undefined,
  ): Promise<WatchResult | undefined> {
    if (!takeover) return undefined;
    const target = segment;
    target.takeover = takeover;
    const outcome = await takeover.run();
    if (outcome === 'committed') return { result: 'taken-over', kind: takeover.kind };
    return { result: 'stays', reason: outcome };
  }

  private createCopyTakeover(stream: RunningStream): Takeover | undefined {
    if (stream.segment.done.aborted) return undefined;
    const next = this.migrator.recover(stream);
    return next && new CopyTakeover(this.kernel, this.opener, stream, next, false);
  }

  private createNewRunTakeover(stream: RunningStream): Takeover | undefined {
    const { admitted, segment } = stream;
    if (!segment.isCurrent || segment.takeover?.isOpen) return undefined;
    if (!admitted.route.isResumable) return undefined;
    const hasOther = this.placer.hasOther(admitted.work, segment.placed.backEnd.endpointId);
    if (!hasOther || !this.retries.takeRetry(admitted)) return undefined;
    return new NewRunTakeover(this.kernel, this.opener, stream, false);
  }

  private report({ admitted, segment, progress }: RunningStream, result: WatchResult): void {
    const isTakenOver = result.result === 'taken-over';
    if (isTakenOver && result.kind === 'new-run') {
      this.placer.recordOutcome(segment.placed.backEnd.endpointId, 'failed');
    }
    this.kernel.log.warn('decision', {
      requestId: admitted.request.requestId,
      step: 'retry',
      what: 'engine silent',
      from: segment.placed.backEnd.endpointId,
      outputTokens: progress.outputTokens,
      outcome: isTakenOver ? `taken over: ${result.kind}` : `stays: ${result.reason}`,
    });
    if (!isTakenOver) this.kernel.get(ServingMetrics).countContinuation('stayed');
  }
}
