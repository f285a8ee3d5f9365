/**
 * The task that polls one endpoint. A poll starts when the one before has ended, so an endpoint
 * that hangs has one open poll at most.
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

  /** Whether the task polls the endpoint under its present address. */
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
      // Polls of different endpoints start at different moments of the interval.
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

  private async pollOnce(askedAtMs: number): Promise<void> {
    const { clock, log } = this.kernel;
    const timeout = new AbortController();
    const decided = new AbortController();
    void clock.sleep(REPORT_OPTIONS.pollTimeoutMs, decided.signal).then(() => timeout.abort());
    const stop = (): void => decided.abort();
    this.stopping.signal.addEventListener('abort', stop, { once: true });
    try {
      const report = await readReport(this.vm, timeout.signal);
      if (!this.stopping.signal.aborted) this.merge(report, clock.nowMs() - askedAtMs);
    } catch (thrown) {
      log.debug('endpoint not polled', { endpoint: this.vm.vmId, cause: thrown });
    } finally {
      decided.abort();
      this.stopping.signal.removeEventListener('abort', stop);
    }
  }

  /** The answer may have waited for this process, so its age counts from the question. */
  private merge(report: EndpointReport, ageMs: number): void {
    const fleet = this.kernel.get(Fleet);
    const endpointId = this.vm.vmId as string as EndpointId;
    const before = fleet.findEndpoint(endpointId)?.report;
    fleet.mergeReports([{ endpointId, report, ageMs }]);
    if (!isUrgentChange(before, report)) return;
    this.kernel.log.info('endpoint says whether it leaves', {
      endpoint: endpointId,
      leaving: report.leaving,
    });
    this.kernel.getAll(Gossip).forEach((gossip) => gossip.announce());
  }
}
