/**
 * Gauges of the exchange of states.
 */
import { GaugeSource, type GaugeReading } from '../../services';
import type { ExchangeMembers } from './ExchangeMembers';

const MS_PER_SECOND = 1_000;

/** @internal */
export class MemberGauges extends GaugeSource {
  constructor(private readonly members: ExchangeMembers) {
    super();
  }

  listGauges(): ReadonlyArray<GaugeReading> {
    const { role, partners } = this.members.partners;
    return [
      {
        name: 'live_nodes',
        help: 'Live nodes, including this one.',
        value: this.members.listLive().length + 1,
      },
      {
        name: 'exchange_partners',
        help: 'Nodes that this node exchanges states with, by its role.',
        value: partners.length,
        labels: { role },
      },
      {
        name: 'reads_source',
        help: '1 while this node reads the published configuration from its source.',
        value: Number(this.members.readsSource()),
      },
      {
        name: 'load_age_seconds',
        help: 'Age of the load of other nodes.',
        value: this.members.getLoadAgeMs() / MS_PER_SECOND,
      },
    ];
  }
}
