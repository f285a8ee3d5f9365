/**
 * Contracts and the VM list: read from the platform, held in one ordered copy.
 */
import { Plugin, registerPlugin } from '../../kernel';
import { ContractBook, PublishedState, ReadinessCheck } from '../../services';
import { PublishedBook } from './PublishedBook';
import { PublishedContracts } from './PublishedContracts';
import { ConfigurationSource, VmListSource } from './PublishedSource';
import { readSource } from './readSource';

class PublishedReadiness extends ReadinessCheck {
  constructor(private readonly book: PublishedBook) {
    super();
  }

  findObstacle(): string | undefined {
    if (this.book.getRevision('configuration') === 0) return 'no contract has been learnt yet';
    if (this.book.getRevision('vm-list') === 0) return 'the VM list has not been learnt yet';
    return undefined;
  }
}

/** @internal */
export class PublishedPlugin extends Plugin {
  static override readonly type = 'published';

  private readonly book = new PublishedBook(this.kernel.clock);

  override setUp(): void {
    this.kernel.provide(PublishedState, this.book);
    this.kernel.provide(ContractBook, new PublishedContracts(this.book, this.kernel.log));
    this.kernel.provide(ReadinessCheck, new PublishedReadiness(this.book));
  }

  override async start(): Promise<void> {
    const { configurationUrl, vmListUrl } = this.kernel.settings;
    [new ConfigurationSource(configurationUrl), new VmListSource(vmListUrl)].forEach((source) =>
      this.kernel.runTask(`read ${source.name}`, async (signal) =>
        readSource(this.kernel, this.book, source, signal),
      ),
    );
  }
}

registerPlugin(PublishedPlugin);
