/**
 * The changes of the list that this node hasn't heard of yet, read when a stream needs them.
 *
 * A read counts only for streams whose requests had arrived before it began. Requests that arrive while
 * one is under way share the next one, so a node has at most one call open. After a read that failed they
 * are refused for a while, rather than held for another one.
 */
import type { Kernel } from '../../kernel';
import { EndpointHistory, type ListedLately } from '../../services';
import { ORIGINS_OPTIONS } from './options';
import { readWithin } from './readWithin';

/** Undefined if the source didn't answer. */
type MissedRead = Promise<ListedLately | undefined>;

/** @internal */
export class MissedChanges {
  private running: MissedRead = Promise.resolve(undefined);

  /** The read that begins once the running one has ended. */
  private next: MissedRead | undefined;

  /** Time from which a read that failed may be repeated. */
  private retryAtMs = -Infinity;

  constructor(private readonly kernel: Kernel) {}

  /** Returns the changes up to a time after the call; undefined if they can't be read. */
  async read(): MissedRead {
    this.next ??= this.readAfter(this.running);
    return this.next;
  }

  private async readAfter(running: MissedRead): MissedRead {
    await running;
    this.next = undefined;
    if (this.kernel.clock.nowMs() < this.retryAtMs) return undefined;
    this.running = this.readOnce();
    return this.running;
  }

  private async readOnce(): MissedRead {
    const { listTimeoutMs, listRetryMs } = ORIGINS_OPTIONS;
    const missed = await readWithin(
      this.kernel,
      { timeoutMs: listTimeoutMs, event: 'endpoint list not read' },
      async (signal) => this.kernel.get(EndpointHistory).readMissed(signal),
    );
    if (!missed) this.retryAtMs = this.kernel.clock.nowMs() + listRetryMs;
    return missed;
  }
}
