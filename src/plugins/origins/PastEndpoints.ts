/**
 * The source's history of the list of endpoints, read when a stream needs it.
 *
 * One read holds for as long as this node follows the list without a gap, as it sees the later changes
 * itself. Streams that are taken up at the same time wait for the same read.
 */
import type { PastVersions } from '../../decisions';
import type { Kernel } from '../../kernel';
import { Deployment, EndpointHistory, type ListedLately } from '../../services';
import { ORIGINS_OPTIONS } from './options';
import { readWithin } from './readWithin';
import { summarizeVersions } from './summarizeVersions';

interface HistoryRead {
  /** Time since which the node had followed the list when it read the history. */
  readonly followedSinceMs: number;
  /** Undefined if the source didn't answer. */
  readonly listed: ListedLately | undefined;
  /** Time from which a read that failed may be repeated. */
  readonly retryAtMs: number;
}

/** @internal */
export class PastEndpoints {
  private last: HistoryRead | undefined;

  private reading: Promise<HistoryRead> | undefined;

  constructor(private readonly kernel: Kernel) {}

  /**
   * Returns what the history shows of a service.
   * @param followedSinceMs time since which this node has followed the list without a gap.
   * @returns undefined if the source can't be read, or the node doesn't follow the list.
   */
  async describe(
    service: string,
    followedSinceMs: number | undefined,
  ): Promise<PastVersions | undefined> {
    if (followedSinceMs === undefined) return undefined;
    const { listed } = await this.read(followedSinceMs);
    if (!listed) return undefined;
    return summarizeVersions(listed, service, this.kernel.get(Deployment));
  }

  private async read(followedSinceMs: number): Promise<HistoryRead> {
    const { last } = this;
    const isUsable =
      last?.followedSinceMs === followedSinceMs &&
      (last.listed !== undefined || this.kernel.clock.nowMs() < last.retryAtMs);
    if (isUsable) return last;
    this.reading ??= this.readOnce(followedSinceMs).finally(() => {
      this.reading = undefined;
    });
    return this.reading;
  }

  private async readOnce(followedSinceMs: number): Promise<HistoryRead> {
    const { historyTimeoutMs, historyRetryMs } = ORIGINS_OPTIONS;
    const listed = await readWithin(
      this.kernel,
      { timeoutMs: historyTimeoutMs, event: 'endpoint history not read' },
      async (signal) => this.kernel.get(EndpointHistory).read(signal),
    );
    const retryAtMs = this.kernel.clock.nowMs() + historyRetryMs;
    this.last = { followedSinceMs, listed, retryAtMs };
    return this.last;
  }
}
