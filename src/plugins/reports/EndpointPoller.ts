/**
 * The task that polls one endpoint. Each poll starts after the previous one has ended, so an
 * endpoint that hangs has at most one open poll.
 */
import type { EndpointId, EndpointReport, Vm } from '../../core';
import { isUrgentChange } from '../../decisions';
import type { Kernel } from '../../kernel';
import { Fleet, Gossip } from '../../services';
import { REPORT_OPTIONS } from './options';
import { readReport } from './readReport';

/** @internal */
export class EndpointPoller {
  private readonly stopping = new AbortController();

  constructor(
    private readonly kernel: Kernel,
    private readonly vm: Vm,
  ) {}

  /** Whether the VM still has the URL and role that the task polls. */
  matches({ url, role }: Vm): boolean {
    return this.vm.url === url && this.vm.role === role;
  }

  stop(): void {
    this.stopping.abort();
  }

  async run(kernelSignal: AbortSignal): Promise<void> {
    const { clock } = this.kernel;
    const stop = (): void => this.stop();
    kernelSignal.addEventListener('abort', stop, { once: true });
    try {
      // Spreads the polls of different endpoints over the interval.
      await this.sleep(Math.random() * REPORT_OPTIONS.pollIntervalMs);
      while (!this.stopping.signal.aborted) {
        const startedMs = clock.nowMs();
        await this.pollOnce(startedMs);
        await this.sleep(startedMs + REPORT_OPTIONS.pollIntervalMs - clock.nowMs());
      }
    } finally {
      kernelSignal.removeEventListener('abort', stop);
    }
  }

  private async sleep(delayMs: number): Promise<void> {
    await this.kernel.clock.sleep(delayMs, this.stopping.signal);
  }

  private async pollOnce(startedMs: number): Promise<void> {
    const { clock, log } = this.kernel;
    const timeout = new AbortController();
    const finished = new AbortController();
    void clock.sleep(REPORT_OPTIONS.pollTimeoutMs, finished.signal).then(() => timeout.abort());
    const stop = (): void => finished.abort();
    this.stopping.signal.addEventListener('abort', stop, { once: true });
    try {
      const report = await readReport(this.vm, timeout.signal);
      if (!this.stopping.signal.aborted) this.merge(report, clock.nowMs() - startedMs);
    } catch (thrown) {
      log.debug('endpoint poll failed', { endpoint: this.vm.vmId, cause: thrown });
    } finally {
      finished.abort();
      this.stopping.signal.removeEventListener('abort', stop);
    }
  }

  /** @param ageMs since the start of the poll, as this process may have read the response late. */
  private merge(report: EndpointReport, ageMs: number): void {
    const fleet = this.kernel.get(Fleet);
    const endpointId = this.vm.vmId as string as EndpointId;
    const before = fleet.findEndpoint(endpointId)?.report;
    fleet.mergeReports([{ endpointId, report, ageMs }]);
    if (!isUrgentChange(before, report)) return;
    this.kernel.log.info('endpoint leaving state changed', {
      endpoint: endpointId,
      leaving: report.leaving,
    });
    this.kernel.getAll(Gossip).forEach((gossip) => gossip.announce());
  }
}
