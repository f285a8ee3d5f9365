/**
 * Reads the contracts and the VM list from the platform and stores one ordered copy of them.
 */
import type { PublishedSourceName } from '../../core';
import { Plugin, registerPlugin } from '../../kernel';
import { ContractStore, PublishedState, ReadinessCheck, SourceProgress } from '../../services';
import { CompleteRevisions } from './CompleteRevisions';
import { PublishedContracts } from './PublishedContracts';
import { ConfigurationSource, VmListSource } from './PublishedSource';
import { PublishedStore } from './PublishedStore';
import { SourceReader } from './SourceReader';

const NOT_READY_REASONS: Readonly<Record<PublishedSourceName, string>> = {
  configuration: 'no complete copy of the contracts has been received yet',
  'vm-list': 'no complete copy of the VM list has been received yet',
};

/** Satisfied once the copy was complete; a later outage of the platform doesn't stop the node. */
class PublishedReadiness extends ReadinessCheck {
  constructor(
    private readonly progress: SourceProgress,
    private readonly source: PublishedSourceName,
  ) {
    super();
  }

  getNotReadyReason(): string | undefined {
    const isComplete = this.progress.getCompleteRevision(this.source) !== undefined;
    return isComplete ? undefined : NOT_READY_REASONS[this.source];
  }
}

/** @internal */
export class PublishedPlugin extends Plugin {
  static override readonly type = 'published';

  private readonly store = new PublishedStore(this.kernel.clock);

  private readonly progress = new CompleteRevisions();

  override setUp(): void {
    this.kernel.provide(PublishedState, this.store);
    this.kernel.provide(SourceProgress, this.progress);
    this.kernel.provide(ContractStore, new PublishedContracts(this.store, this.kernel.log));
    this.kernel.provide(ReadinessCheck, new PublishedReadiness(this.progress, 'configuration'));
    this.kernel.provide(ReadinessCheck, new PublishedReadiness(this.progress, 'vm-list'));
  }

  override async start(): Promise<void> {
    const { configurationUrl, vmListUrl } = this.kernel.settings;
    const sources = [
      new ConfigurationSource(configurationUrl),
      new VmListSource(vmListUrl, () => this.store.list('vms/')),
    ];
    sources.forEach((source) => {
      const reader = new SourceReader(this.kernel, this.store, this.progress, source);
      this.kernel.runTask(`read ${source.name}`, async (signal) => reader.run(signal));
    });
  }
}

registerPlugin(PublishedPlugin);
