/**
 * The task that reads one published source while this node is responsible for it.
 *
 * Only the chosen readers of a data centre read from the platform. The other nodes receive updates
 * by gossip, and read the source themselves when no confirmation has arrived for some time.
 */
import type { VmId } from '../../core';
import { chooseReaders, decideReading, type ReadingVerdict } from '../../decisions';
import type { Kernel } from '../../kernel';
import { Fleet } from '../../services';
import type { CompleteRevisions } from './CompleteRevisions';
import { PUBLISHED_OPTIONS } from './options';
import type { PublishedSource } from './PublishedSource';
import type { PublishedStore } from './PublishedStore';

/** @internal */
export class SourceReader {
  private readonly startedMs: number;

  private readonly jitterMs = Math.random() * PUBLISHED_OPTIONS.maxJitterMs;

  private lastReason: string | undefined;

  constructor(
    private readonly kernel: Kernel,
    private readonly store: PublishedStore,
    private readonly progress: CompleteRevisions,
    private readonly source: PublishedSource,
  ) {
    this.startedMs = kernel.clock.nowMs();
  }

  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.kernel;
    await clock.sleep(Math.random() * PUBLISHED_OPTIONS.firstReadJitterMs, signal);
    while (!signal.aborted) {
      const verdict = this.decide();
      this.logChange(verdict);
      if (verdict.read) await this.readOnce(signal);
      else await clock.sleep(PUBLISHED_OPTIONS.readerCheckIntervalMs, signal);
    }
  }

  private decide(): ReadingVerdict {
    const { kernel, store, progress, source } = this;
    const fleet = kernel.get(Fleet);
    const { vmId, dataCentre } = kernel.settings;
    const nodes = fleet
      .listNodes()
      .map(({ vm, state }) => ({ ...vm, isServing: state === 'serving' }));
    const readers = chooseReaders(
      source.name,
      dataCentre,
      nodes,
      PUBLISHED_OPTIONS.readersPerDataCentre,
    );
    return decideReading(
      {
        isChosen: readers.includes(vmId),
        confirmedAgeMs: store.getConfirmedAgeMs(source.name),
        isComplete: progress.getCompleteRevision(source.name) !== undefined,
        hasPeers: this.hasPeers(nodes.map((node) => node.vmId)),
        runningMs: kernel.clock.nowMs() - this.startedMs,
      },
      {
        askPeersMs: PUBLISHED_OPTIONS.askPeersMs,
        takeOverAgeMs: PUBLISHED_OPTIONS.takeOverAgeMs,
        jitterMs: this.jitterMs,
      },
    );
  }

  /** Until the VM list is complete, assumes peers for every source except the list itself. */
  private hasPeers(vmIds: ReadonlyArray<VmId>): boolean {
    const isListComplete = this.progress.getCompleteRevision('vm-list') !== undefined;
    if (this.source.name !== 'vm-list' && !isListComplete) return true;
    return vmIds.some((vmId) => vmId !== this.kernel.settings.vmId);
  }

  /** Reads the changes. Ignores a response older than the stored records; it confirms nothing. */
  private async readOnce(signal: AbortSignal): Promise<void> {
    const { store, progress, source } = this;
    const { clock, log } = this.kernel;
    const completeRevision = progress.getCompleteRevision(source.name);
    const newestRevision = Math.max(completeRevision ?? 0, store.getRevision(source.name));
    const afterRevision = source.returnsSnapshot ? newestRevision : (completeRevision ?? 0);
    const waitMs = completeRevision === undefined ? 0 : PUBLISHED_OPTIONS.watchTimeoutMs;
    try {
      let requestedAtMs = clock.nowMs();
      let page = await source.read(afterRevision, waitMs, signal);
      store.merge(page.records);
      while (page.hasMore) {
        // Without this check, the loop would request an empty page again and again.
        const lastRevision = Math.max(0, ...page.records.map(({ revision }) => revision));
        if (lastRevision === 0) throw new Error('The source announced more records but sent none.');
        requestedAtMs = clock.nowMs();
        page = await source.read(lastRevision, 0, signal);
        store.merge(page.records);
      }
      if (page.revision < newestRevision) {
        log.warn('stale answer ignored', { source: source.name, revision: page.revision });
        await clock.sleep(PUBLISHED_OPTIONS.retryDelayMs, signal);
        return;
      }
      progress.markComplete(source.name, page.revision);
      // A stalled link or a paused process may have delayed the response, so its age counts from
      // the start of the request.
      store.confirm(source.name, clock.nowMs() - requestedAtMs);
    } catch (thrown) {
      if (signal.aborted) return;
      log.warn('published source unavailable', { source: source.name, cause: thrown });
      await clock.sleep(PUBLISHED_OPTIONS.retryDelayMs * (1 + Math.random()), signal);
    }
  }

  private logChange({ read, reason }: ReadingVerdict): void {
    if (reason === this.lastReason) return;
    this.lastReason = reason;
    this.kernel.log.info('published source reading changed', {
      source: this.source.name,
      reads: read,
      reason,
    });
  }
}
