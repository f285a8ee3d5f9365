/**
 * The task that keeps the node's copy of one source current, where this is the node's duty.
 *
 * Only the chosen readers of a data centre read the platform; the others are kept current by gossip
 * and read for themselves when nothing has reached them for a while.
 */
import type { VmId } from '../../core';
import { chooseReaders, decideReading, type ReadingVerdict } from '../../decisions';
import type { Kernel } from '../../kernel';
import { Fleet } from '../../services';
import type { CompleteRevisions } from './CompleteRevisions';
import { PUBLISHED_OPTIONS } from './options';
import type { PublishedStore } from './PublishedStore';
import type { PublishedSource } from './PublishedSource';

/** @internal */
export class SourceReader {
  private readonly startedMs: number;

  private readonly jitterMs = Math.random() * PUBLISHED_OPTIONS.maxJitterMs;

  private lastReason: string | undefined;

  constructor(
    private readonly kernel: Kernel,
    private readonly book: PublishedStore,
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
    const { kernel, book, progress, source } = this;
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
        confirmedAgeMs: book.getConfirmedAgeMs(source.name),
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

  /** Until the VM list is known, other nodes are taken to exist; only the list itself is read. */
  private hasPeers(vmIds: ReadonlyArray<VmId>): boolean {
    const isListKnown = this.progress.getCompleteRevision('vm-list') !== undefined;
    if (this.source.name !== 'vm-list' && !isListKnown) return true;
    return vmIds.some((vmId) => vmId !== this.kernel.settings.vmId);
  }

  /** Reads what changed. An answer older than what is held is ignored and confirms nothing. */
  private async readOnce(signal: AbortSignal): Promise<void> {
    const { book, progress, source } = this;
    const { clock, log } = this.kernel;
    const complete = progress.getCompleteRevision(source.name);
    const newestRevision = Math.max(complete ?? 0, book.getRevision(source.name));
    const afterRevision = source.returnsSnapshot ? newestRevision : (complete ?? 0);
    const waitMs = complete === undefined ? 0 : PUBLISHED_OPTIONS.watchTimeoutMs;
    try {
      let askedAtMs = clock.nowMs();
      let page = await source.read(afterRevision, waitMs, signal);
      book.merge(page.records);
      while (page.hasMore) {
        // A page without records would be asked for for ever.
        const lastRevision = Math.max(0, ...page.records.map(({ revision }) => revision));
        if (lastRevision === 0) throw new Error('The page is empty but more was announced.');
        askedAtMs = clock.nowMs();
        page = await source.read(lastRevision, 0, signal);
        book.merge(page.records);
      }
      if (page.revision < newestRevision) {
        log.warn('stale answer ignored', { source: source.name, revision: page.revision });
        await clock.sleep(PUBLISHED_OPTIONS.retryDelayMs, signal);
        return;
      }
      progress.markComplete(source.name, page.revision);
      // The answer may have waited in a stalled link or a paused process: its age counts from the
      // moment of the question.
      book.confirm(source.name, clock.nowMs() - askedAtMs);
    } catch (thrown) {
      if (signal.aborted) return;
      log.warn('published source unavailable', { source: source.name, cause: thrown });
      await clock.sleep(PUBLISHED_OPTIONS.retryDelayMs * (1 + Math.random()), signal);
    }
  }

  private logChange({ read, reason }: ReadingVerdict): void {
    if (reason === this.lastReason) return;
    this.lastReason = reason;
    this.kernel.log.info('reading of published source', {
      source: this.source.name,
      reads: read,
      reason,
    });
  }
}
