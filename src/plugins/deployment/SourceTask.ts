/**
 * The task that keeps the deployment store of a reader current: it reads everything once, then watches
 * for changes by long polling. On a node that follows readers it reads only while these fail.
 *
 * A watch that returns no changes proves that nothing changed while it waited, so it confirms the
 * store up to the end of the wait rather than its start.
 */
import { startDeadline } from '../../core';
import {
  computeFreshnessThresholds,
  computeWatchTimeoutMs,
  FRESHNESS_OPTIONS,
} from '../../decisions';
import type { Kernel } from '../../kernel';
import { DeploymentSource, Members, ServingMetrics, type PublishedChanges } from '../../services';
import type { DeploymentStore } from './DeploymentStore';
import { DEPLOYMENT_OPTIONS } from './options';

/** @internal */
export class SourceTask {
  /** Whether the source no longer has the changes after what this node knows. */
  private isHistoryGone = false;

  private readonly startedAtMs: number;

  constructor(
    private readonly kernel: Kernel,
    private readonly store: DeploymentStore,
  ) {
    this.startedAtMs = kernel.clock.nowMs();
  }

  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.kernel;
    while (!signal.aborted) {
      if (!this.mustRead()) {
        await clock.sleep(DEPLOYMENT_OPTIONS.roleCheckIntervalMs, signal);
        continue;
      }
      const startedAtMs = clock.nowMs();
      try {
        const needsAll = this.isHistoryGone || this.store.completeToRevision === 0;
        await (needsAll ? this.readAll(signal) : this.watch(signal));
      } catch (thrown) {
        if (signal.aborted) return;
        const reason = thrown instanceof Error ? thrown.message : String(thrown);
        this.store.markSourceUnavailable(reason);
        this.kernel.get(ServingMetrics).countSourceCall('failed');
        // The interval starts with the call: a quick failure waits for the rest of it, and a timeout
        // is retried at once.
        const retryIntervalMs = this.chooseRetryIntervalMs();
        await clock.sleep(startedAtMs + this.addJitter(retryIntervalMs) - clock.nowMs(), signal);
      }
    }
  }

  /** Whether this node is a reader, or what its readers confirmed is too old. */
  private mustRead(): boolean {
    const { relayAfterMs } = computeFreshnessThresholds(this.store.bounds.revocationWithinMs);
    if (this.kernel.get(Members).readsSource()) return true;
    const startedForMs = this.kernel.clock.nowMs() - this.startedAtMs;
    // After a restart of all nodes, nobody has a copy yet.
    if (!this.store.configuration) return startedForMs > DEPLOYMENT_OPTIONS.firstCopyWaitMs;
    // The readers get the same time after the start as after a confirmation.
    return Math.min(startedForMs, this.store.getConfirmedAgeMs()) > relayAfterMs;
  }

  private chooseRetryIntervalMs(): number {
    const { retryIntervalMs, memberRetryIntervalMs } = DEPLOYMENT_OPTIONS;
    return this.kernel.get(Members).readsSource() ? retryIntervalMs : memberRetryIntervalMs;
  }

  private async readAll(signal: AbortSignal): Promise<void> {
    const sentAt = this.store.readClocks();
    const source = this.kernel.get(DeploymentSource);
    const limit = startDeadline(DEPLOYMENT_OPTIONS.readTimeoutMs, signal);
    try {
      const isCurrent = this.applyAnswer(await source.readAll(limit.signal), true);
      if (isCurrent) this.store.confirm(sentAt.nowMs, sentAt);
      this.kernel.get(ServingMetrics).countSourceCall('changes');
    } finally {
      limit.stop();
    }
  }

  private async watch(signal: AbortSignal): Promise<void> {
    const { log } = this.kernel;
    const { watchTimeoutMarginMs, watchEarlyMarginMs } = DEPLOYMENT_OPTIONS;
    const thresholds = computeFreshnessThresholds(this.store.bounds.revocationWithinMs);
    const waitMs = Math.round(
      this.addJitter(
        computeWatchTimeoutMs(
          this.store.getConfirmedAgeMs(),
          thresholds,
          this.kernel.get(Members).readsForOthers(),
        ),
      ),
    );
    const sentAt = this.store.readClocks();
    const changes = await this.readChanges(waitMs, waitMs + watchTimeoutMarginMs, signal);
    if (!changes) {
      log.info('source no longer has the history', { position: this.store.completeToRevision });
      this.kernel.get(ServingMetrics).countSourceCall('history-gone');
      this.isHistoryGone = true;
      return;
    }
    const isCurrent = this.applyAnswer(changes, false);
    const isUnchanged = changes.changes.length === 0;
    this.kernel.get(ServingMetrics).countSourceCall(isUnchanged ? 'no-change' : 'changes');
    const { clock } = this.kernel;
    const endsAtMs = sentAt.nowMs + waitMs;
    const waitedUntilMs = Math.min(clock.nowMs(), endsAtMs);
    // An empty answer that comes early was given at an unknown time, and not for want of changes.
    const hasWaited = isUnchanged && waitedUntilMs >= endsAtMs - watchEarlyMarginMs;
    if (isCurrent) this.store.confirm(hasWaited ? waitedUntilMs : sentAt.nowMs, sentAt);
    if (!isUnchanged) await clock.sleep(FRESHNESS_OPTIONS.batchDelayMs, signal);
    else await this.pauseAfterEarlyAnswer(endsAtMs, signal);
  }

  /** Waits before the next watch when one has ended long before its time. */
  private async pauseAfterEarlyAnswer(endsAtMs: number, signal: AbortSignal): Promise<void> {
    const remainingMs = endsAtMs - this.kernel.clock.nowMs();
    const pauseMs = Math.min(remainingMs, this.addJitter(DEPLOYMENT_OPTIONS.retryIntervalMs));
    if (pauseMs > 0) await this.kernel.clock.sleep(pauseMs, signal);
  }

  /**
   * Applies an answer and returns whether it is at least as recent as what this node has read. An
   * older answer is stale: newer values in it are applied, but it confirms nothing.
   */
  private applyAnswer({ changes, position }: PublishedChanges, isComplete: boolean): boolean {
    const isCurrent = position >= this.store.completeToRevision;
    if (!isCurrent) this.kernel.log.warn('stale answer from the source', { position });
    changes.forEach((change) => this.store.applyChange(change, isComplete));
    if (isComplete) {
      const listed = changes.flatMap((change) =>
        change.kind === 'endpoint' ? [change.backEnd.endpointId] : [],
      );
      this.store
        .listMissingFrom(listed)
        .forEach((endpointId) => this.store.removeEndpoint(endpointId, position));
      this.isHistoryGone = false;
    }
    this.store.markCompleteTo(position);
    return isCurrent;
  }

  /** Ends the call at its timeout, or earlier when a suspension of the machine is detected. */
  private async readChanges(
    waitMs: number,
    timeoutMs: number,
    signal: AbortSignal,
  ): Promise<PublishedChanges | undefined> {
    const suspension = this.store.watchForSuspension();
    const limit = startDeadline(timeoutMs, signal, suspension.signal);
    try {
      const source = this.kernel.get(DeploymentSource);
      return await source.readChanges(this.store.completeToRevision, waitMs, limit.signal);
    } finally {
      limit.stop();
      suspension.stop();
    }
  }

  /** Spreads the calls of nodes that started at the same time. */
  private addJitter(intervalMs: number): number {
    return intervalMs * (1 + DEPLOYMENT_OPTIONS.jitterShare * (2 * Math.random() - 1));
  }
}
