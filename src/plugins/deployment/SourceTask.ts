/**
 * The task that keeps the deployment store of a reader current: it reads everything once, then watches
 * for changes by long polling. On a node that follows readers it reads only while these fail.
 *
 * A watch that returns no changes proves that nothing changed while it waited, so it confirms the
 * store up to the end of the wait rather than its start.
 */
import { isEarlier, startDeadline } from '../../core';
import {
  computeFreshnessThresholds,
  computeReadPauseMs,
  computeWatchTimeoutMs,
  FRESHNESS_OPTIONS,
} from '../../decisions';
import type { Kernel } from '../../kernel';
import { DeploymentSource, Members, ServingMetrics, type PublishedChanges } from '../../services';
import type { DeploymentStore } from './DeploymentStore';
import { DEPLOYMENT_OPTIONS } from './options';

/** `continued`: a watch succeeded; `useless`: nothing was learned, or the read failed. */
type ReadOutcome = 'continued' | 'read-anew' | 'useless';

/** @internal */
export class SourceTask {
  /** Whether the source no longer has the changes after what this node knows. */
  private isHistoryGone = false;

  /** Reads of no use since the last watch that succeeded. */
  private uselessReads = 0;

  private readonly startedAtMs: number;

  constructor(
    private readonly kernel: Kernel,
    private readonly store: DeploymentStore,
  ) {
    this.startedAtMs = kernel.clock.nowMs();
  }

  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (this.mustRead()) await this.readPaced(signal);
      else await this.kernel.clock.sleep(DEPLOYMENT_OPTIONS.roleCheckIntervalMs, signal);
    }
  }

  /**
   * Reads once, and waits after a read that was of no use, whatever the reason. In a row of such
   * reads only the first is repeated after the short pause; the others start at least a retry
   * interval apart. The row ends with a watch that succeeds, as full reads alone may alternate with
   * watches that are refused.
   */
  private async readPaced(signal: AbortSignal): Promise<void> {
    const { clock } = this.kernel;
    const startedAtMs = clock.nowMs();
    const outcome = await this.read(signal);
    if (outcome === 'continued') this.uselessReads = 0;
    if (outcome !== 'useless') return;
    this.uselessReads += 1;
    const pauseMs = computeReadPauseMs(
      this.uselessReads,
      clock.nowMs() - startedAtMs,
      this.addJitter(this.chooseRetryIntervalMs()),
    );
    await clock.sleep(this.addJitter(pauseMs), signal);
  }

  private async read(signal: AbortSignal): Promise<ReadOutcome> {
    const { newestEra } = this.store;
    try {
      return await (this.needsAll() ? this.readAll(signal) : this.watch(signal));
    } catch (thrown) {
      if (signal.aborted) return 'useless';
      // The call was ended here to read everything in the newer era.
      if (this.store.newestEra > newestEra) return 'useless';
      const reason = thrown instanceof Error ? thrown.message : String(thrown);
      this.store.markSourceUnavailable(reason);
      this.kernel.get(ServingMetrics).countSourceCall('failed');
      return 'useless';
    } finally {
      this.store.hearOfEra(this.kernel.get(DeploymentSource).newestEra);
      // What was of no use in the older era doesn't delay the first read of the newer one.
      if (this.store.newestEra > newestEra) this.uselessReads = 0;
    }
  }

  private needsAll(): boolean {
    const { completeTo, isEraOver, evacuations } = this.store;
    return (
      this.isHistoryGone || isEraOver || evacuations.mayLackEvacuations || completeTo.revision === 0
    );
  }

  /** Whether this node is a reader, or what its readers confirmed is too old. */
  private mustRead(): boolean {
    const { relayAfterMs } = computeFreshnessThresholds(this.store.bounds.revocationWithinMs);
    const members = this.kernel.get(Members);
    const startedForMs = this.kernel.clock.nowMs() - this.startedAtMs;
    // Other nodes may know versions and departures that the source has lost. After a restart of all
    // nodes, nobody has a copy yet.
    if (!this.store.configuration && startedForMs <= DEPLOYMENT_OPTIONS.firstCopyWaitMs) {
      return members.readsSource() && members.hasJoined() && members.listLive().length === 0;
    }
    if (!this.store.configuration || members.readsSource()) return true;
    // The readers get the same time after the start as after a confirmation.
    return Math.min(startedForMs, this.store.getSourceAgeMs()) > relayAfterMs;
  }

  private chooseRetryIntervalMs(): number {
    const { retryIntervalMs, memberRetryIntervalMs } = DEPLOYMENT_OPTIONS;
    return this.kernel.get(Members).readsSource() ? retryIntervalMs : memberRetryIntervalMs;
  }

  private async readAll(signal: AbortSignal): Promise<ReadOutcome> {
    const sentAt = this.store.readClocks();
    const source = this.kernel.get(DeploymentSource);
    const limit = startDeadline(DEPLOYMENT_OPTIONS.readTimeoutMs, signal);
    try {
      if (!this.applyAnswer(await source.readAll(limit.signal), true)) return this.countUseless();
      this.store.confirm(sentAt.nowMs, sentAt);
      this.kernel.get(ServingMetrics).countSourceCall('changes');
      return 'read-anew';
    } finally {
      limit.stop();
    }
  }

  private async watch(signal: AbortSignal): Promise<ReadOutcome> {
    const { clock, log } = this.kernel;
    const waitMs = this.chooseWaitMs();
    const sentAt = this.store.readClocks();
    const timeoutMs = waitMs + DEPLOYMENT_OPTIONS.watchTimeoutMarginMs;
    const answer = await this.readChanges(waitMs, timeoutMs, signal);
    if (!answer) {
      log.info('source no longer has the history', { ...this.store.completeTo });
      this.kernel.get(ServingMetrics).countSourceCall('history-gone');
      this.isHistoryGone = true;
      this.store.noteHistoryLost();
      return 'useless';
    }
    if (!this.applyAnswer(answer, false)) return this.countUseless();
    const isUnchanged = answer.changes.length === 0;
    const waitedMs = clock.nowMs() - sentAt.nowMs;
    const hasWaited = waitedMs + DEPLOYMENT_OPTIONS.earlyAnswerToleranceMs >= waitMs;
    const waitedUntilMs = Math.min(clock.nowMs(), sentAt.nowMs + waitMs);
    this.store.confirm(isUnchanged && hasWaited ? waitedUntilMs : sentAt.nowMs, sentAt);
    if (isUnchanged && !hasWaited) return this.countUseless();
    this.kernel.get(ServingMetrics).countSourceCall(isUnchanged ? 'no-change' : 'changes');
    if (!isUnchanged || waitMs === 0) await clock.sleep(FRESHNESS_OPTIONS.batchDelayMs, signal);
    return 'continued';
  }

  private chooseWaitMs(): number {
    const thresholds = computeFreshnessThresholds(this.store.bounds.revocationWithinMs);
    const readsForOthers = this.kernel.get(Members).readsForOthers();
    const sourceAgeMs = this.store.getSourceAgeMs();
    return Math.round(
      this.addJitter(computeWatchTimeoutMs(sourceAgeMs, thresholds, readsForOthers)),
    );
  }

  /** Counts an answer that neither changed nor confirmed what this node knows. */
  private countUseless(): ReadOutcome {
    this.kernel.get(ServingMetrics).countSourceCall('useless');
    return 'useless';
  }

  /**
   * Applies an answer and returns whether it is at least as recent as what this node knows. An older
   * one in the same era is stale: newer values in it are applied, but it confirms nothing. One of an
   * older era is not applied, nor is a watch that was answered in a newer era than it continues.
   */
  private applyAnswer({ changes, position }: PublishedChanges, isComplete: boolean): boolean {
    const { store } = this;
    const isOfEra =
      position.era >= store.newestEra && (isComplete || position.era === store.completeTo.era);
    const isStale = position.era < store.newestEra || isEarlier(position, store.completeTo);
    if (isStale && this.uselessReads === 0) {
      this.kernel.log.warn('stale answer from the source', {
        ...position,
        known: store.completeTo,
      });
    }
    if (!isOfEra) return false;
    if (isComplete) {
      store.noteListGap();
      store.enterEra(position.era);
      store.noteEraStart(position);
    }
    changes.forEach((change) => store.applyChange(change, isComplete));
    if (isComplete) {
      const listed = changes.flatMap((change) => {
        if (change.kind === 'endpoint') return change.backEnd.endpointId;
        return change.kind === 'unreadable' ? (change.endpointId ?? []) : [];
      });
      store
        .takeMissingFrom(listed)
        .forEach(({ endpointId }) => store.removeEndpoint(endpointId, position));
      const evacuated = changes.flatMap((change) =>
        change.kind === 'evacuation' ? change.dataCentre : [],
      );
      store.evacuations.reconcile(new Set(evacuated), position, 'key missing');
      if (!isStale) store.evacuations.setComplete(true);
      this.isHistoryGone = false;
    }
    store.markCompleteTo(position);
    return !isStale;
  }

  /** Ends the call at its timeout, or earlier when it is interrupted. */
  private async readChanges(
    waitMs: number,
    timeoutMs: number,
    signal: AbortSignal,
  ): Promise<PublishedChanges | undefined> {
    const interruption = this.store.watchForInterruption();
    const limit = startDeadline(timeoutMs, signal, interruption.signal);
    try {
      const source = this.kernel.get(DeploymentSource);
      return await source.readChanges(this.store.completeTo, waitMs, limit.signal);
    } finally {
      limit.stop();
      interruption.stop();
    }
  }

  /** Spreads the calls of nodes that started at the same time. */
  private addJitter(intervalMs: number): number {
    return intervalMs * (1 + DEPLOYMENT_OPTIONS.jitterShare * (2 * Math.random() - 1));
  }
}
