/**
 * The task that keeps the node's copy of one source current.
 */
import type { Kernel } from '../../kernel';
import { PUBLISHED_OPTIONS } from './options';
import type { PublishedBook } from './PublishedBook';
import type { PublishedSource } from './PublishedSource';

/** Reads, then watches, until the signal aborts. An answer older than what is held is ignored. */
export async function readSource(
  kernel: Kernel,
  book: PublishedBook,
  source: PublishedSource,
  signal: AbortSignal,
): Promise<void> {
  let waitMs = 0;
  while (!signal.aborted) {
    const heldRevision = book.getRevision(source.name);
    try {
      const page = await source.read(heldRevision, waitMs, signal);
      book.merge(page.records);
      // A stale answer confirms nothing: it is older than what this node has seen.
      if (page.revision >= heldRevision && !page.hasMore) book.confirm(source.name, 0);
      waitMs = page.hasMore ? 0 : PUBLISHED_OPTIONS.watchWaitMs;
    } catch (thrown) {
      if (signal.aborted) return;
      kernel.log.warn('published source unavailable', { source: source.name, cause: thrown });
      await kernel.clock.sleep(PUBLISHED_OPTIONS.retryDelayMs, signal);
    }
  }
}
