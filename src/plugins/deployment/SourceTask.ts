/**
 * The task that keeps the deployment book current: read everything once, then watch.
 *
 * A watch that comes back empty proves that nothing changed while it waited, so its end, and not
 * its start, is the time up to which the book is complete.
 */
import { startDeadline } from '../../core';
import {
  computeBatchDelayMs,
  computeFreshnessThresholds,
  computeWatchTimeoutMs,
} from '../../decisions';
import type { Kernel } from '../../kernel';
import { DeploymentSource, Members, ServingMetrics, type PublishedChanges } from '../../services';
import type { DeploymentStore } from './DeploymentStore';
import { DEPLOYMENT_OPTIONS } from './options';

/** @internal */
export class SourceTask {
  private position: number | undefined;

  constructor(
    private readonly kernel: Kernel,
    private readonly book: DeploymentStore,
  ) {}

  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.kernel;
    while (!signal.aborted) {
      const askedAtMs = clock.nowMs();
      try {
        await (this.position === undefined ? this.readAll(signal) : this.watch(signal));
      } catch (thrown) {
        if (signal.aborted) return;
        const reason = thrown instanceof Error ? thrown.message : String(thrown);
        this.book.markSourceUnavailable(reason);
        this.kernel.get(ServingMetrics).countSourceCall('failed');
        // A quick failure is tried again soon; a time-out has waited already.
        const { retryIntervalMs } = DEPLOYMENT_OPTIONS;
        await clock.sleep(askedAtMs + this.addJitter(retryIntervalMs) - clock.nowMs(), signal);
      }
    }
  }

  private async readAll(signal: AbortSignal): Promise<void> {
    const asked = this.book.readClocks();
    const source = this.kernel.get(DeploymentSource);
    const limit = startDeadline(DEPLOYMENT_OPTIONS.readTimeoutMs, signal);
    try {
      const isCurrent = this.applyAnswer(await source.readAll(limit.signal), true);
      if (isCurrent) this.book.confirm(asked.nowMs, asked);
      this.kernel.get(ServingMetrics).countSourceCall('changes');
    } finally {
      limit.stop();
    }
  }

  private async watch(signal: AbortSignal): Promise<void> {
    const { log } = this.kernel;
    const { watchTimeoutMarginMs } = DEPLOYMENT_OPTIONS;
    const ages = computeFreshnessThresholds(this.book.bounds.revocationWithinMs);
    const waitMs = Math.round(
      this.addJitter(computeWatchTimeoutMs(this.book.getConfirmedAgeMs(), ages)),
    );
    const asked = this.book.readClocks();
    const changes = await this.readChanges(waitMs, waitMs + watchTimeoutMarginMs, signal);
    if (!changes) {
      log.info('history of the source lost', { position: this.position });
      this.kernel.get(ServingMetrics).countSourceCall('history-gone');
      this.position = undefined;
      return;
    }
    const isCurrent = this.applyAnswer(changes, false);
    const isUnchanged = changes.changes.length === 0;
    this.kernel.get(ServingMetrics).countSourceCall(isUnchanged ? 'no-change' : 'changes');
    if (isCurrent) this.book.confirm(isUnchanged ? asked.nowMs + waitMs : asked.nowMs, asked);
    if (isUnchanged) return;
    const otherNodes = this.kernel.get(Members).listLive().length;
    await this.kernel.clock.sleep(computeBatchDelayMs(otherNodes), signal);
  }

  /**
   * Takes an answer; tells whether the source was at least where this node has been. An answer from
   * before that is stale: what is newer in it is taken, but it confirms nothing.
   */
  private applyAnswer({ changes, position }: PublishedChanges, isComplete: boolean): boolean {
    const isCurrent = position >= this.book.completeToRevision;
    if (!isCurrent) this.kernel.log.warn('stale answer of the source', { position });
    changes.forEach((change) => this.book.applyChange(change, isComplete));
    if (isComplete) {
      const listed = changes.flatMap((change) =>
        change.kind === 'endpoint' ? [change.backEnd.endpointId] : [],
      );
      this.book
        .listMissingFrom(listed)
        .forEach((endpointId) => this.book.removeEndpoint(endpointId, position));
    }
    this.position = Math.max(position, this.position ?? 0);
    this.book.markCompleteTo(this.position);
    return isCurrent;
  }

  /** Ends the call at its time limit, or early when a suspension has shown. */
  private async readChanges(
    waitMs: number,
    timeoutMs: number,
    signal: AbortSignal,
  ): Promise<PublishedChanges | undefined> {
    const doubt = this.book.watchForSuspension();
    const limit = startDeadline(timeoutMs, signal, doubt.signal);
    try {
      const source = this.kernel.get(DeploymentSource);
      return await source.readChanges(this.position ?? 0, waitMs, limit.signal);
    } finally {
      limit.stop();
      doubt.stop();
    }
  }

  /** Spreads the calls of nodes that started together. */
  private addJitter(intervalMs: number): number {
    return intervalMs * (1 + DEPLOYMENT_OPTIONS.jitterShare * (2 * Math.random() - 1));
  }
}
