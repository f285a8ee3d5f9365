/**
 * Contracts and the VM list: read from the platform, held in one ordered copy.
 */
import type { PublishedSourceName } from '../../core';
import { Plugin, registerPlugin } from '../../kernel';
import { ContractStore, PublishedState, ReadinessCheck, SourceProgress } from '../../services';
import { CompleteRevisions } from './CompleteRevisions';
import { PublishedStore } from './PublishedStore';
import { PublishedContracts } from './PublishedContracts';
import { ConfigurationSource, VmListSource } from './PublishedSource';
import { SourceReader } from './SourceReader';

const OBSTACLES: Readonly<Record<PublishedSourceName, string>> = {
  configuration: 'the contracts have not been learnt yet',
  'vm-list': 'the VM list has not been learnt yet',
};

/** Satisfied once a copy was complete; a later outage of the platform doesn't stop the node. */
class PublishedReadiness extends ReadinessCheck {
  constructor(
    private readonly progress: SourceProgress,
    private readonly source: PublishedSourceName,
  ) {
    super();
  }

  getNotReadyReason(): string | undefined {
    const isComplete = this.progress.getCompleteRevision(this.source) !== undefined;
    return isComplete ? undefined : OBSTACLES[this.source];
  }
}

/** @internal */
export class PublishedPlugin extends Plugin {
  static override readonly type = 'published';

  private readonly book = new PublishedStore(this.kernel.clock);

  private readonly progress = new CompleteRevisions();

  override setUp(): void {
    this.kernel.provide(PublishedState, this.book);
    this.kernel.provide(SourceProgress, this.progress);
    this.kernel.provide(ContractStore, new PublishedContracts(this.book, this.kernel.log));
    this.kernel.provide(ReadinessCheck, new PublishedReadiness(this.progress, 'configuration'));
    this.kernel.provide(ReadinessCheck, new PublishedReadiness(this.progress, 'vm-list'));
  }

  override async start(): Promise<void> {
    const { configurationUrl, vmListUrl } = this.kernel.settings;
    const sources = [
      new ConfigurationSource(configurationUrl),
      new VmListSource(vmListUrl, () => this.book.list('vms/')),
    ];
    sources.forEach((source) => {
      const reader = new SourceReader(this.kernel, this.book, this.progress, source);
      this.kernel.runTask(`read ${source.name}`, async (signal) => reader.run(signal));
    });
  }
}

registerPlugin(PublishedPlugin);
