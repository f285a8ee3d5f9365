/**
 * Plug-in that quarantines parts of prompts that crash endpoints, by the evidence that all nodes
 * exchange.
 */
import { Plugin, registerPlugin } from '../../kernel';
import {
  GaugeSource,
  PeerHandler,
  Quarantine,
  SharedState,
  type GaugeReading,
} from '../../services';
import { QUARANTINE_OPTIONS } from './options';
import { PromptQuarantine } from './PromptQuarantine';
import { SharedCrashes } from './SharedCrashes';
import { TrialGrants, TrialHandler } from './TrialGrants';

class QuarantineGauges extends GaugeSource {
  constructor(private readonly quarantine: PromptQuarantine) {
    super();
  }

  listGauges(): ReadonlyArray<GaugeReading> {
    return [
      {
        name: 'quarantined_prompt_parts',
        help: 'Parts of prompts whose requests are refused because they crash endpoints.',
        value: this.quarantine.quarantinedCount,
      },
      {
        name: 'suspected_crashes',
        help: 'Known crashes of endpoints that a request may have caused.',
        value: this.quarantine.evidence.crashes.length,
      },
    ];
  }
}

/** @internal */
export class QuarantinePlugin extends Plugin {
  static override readonly type = 'quarantine';

  private readonly trials = new TrialGrants(this.kernel);

  private readonly quarantine = new PromptQuarantine(this.kernel, this.trials);

  override setUp(): void {
    const { kernel, quarantine } = this;
    kernel.provide(Quarantine, quarantine);
    kernel.provide(SharedState, new SharedCrashes(quarantine, kernel.clock));
    kernel.provide(PeerHandler, new TrialHandler(this.trials));
    kernel.provide(GaugeSource, new QuarantineGauges(quarantine));
  }

  override async start(): Promise<void> {
    this.kernel.runTask('forget old crashes', async (signal) => {
      while (!signal.aborted) {
        await this.kernel.clock.sleep(QUARANTINE_OPTIONS.expireIntervalMs, signal);
        this.quarantine.expire();
      }
    });
  }
}

registerPlugin(QuarantinePlugin);
