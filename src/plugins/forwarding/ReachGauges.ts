/**
 * Gauges of the services of which this node reaches no endpoint.
 */
import { GaugeSource, type GaugeReading } from '../../services';
import type { ReachMonitor } from './ReachMonitor';

/** @internal */
export class ReachGauges extends GaugeSource {
  constructor(private readonly reach: ReachMonitor) {
    super();
  }

  listGauges(): ReadonlyArray<GaugeReading> {
    return [
      {
        name: 'unreached_services',
        help: 'Services of which no endpoint accepts connections of this node.',
        value: this.reach.listUnreached().length,
      },
    ];
  }
}
