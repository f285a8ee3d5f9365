/**
 * Gauge of the endpoints that differ in speed.
 */
import type { Clock } from '../../core';
import type { EndpointSpeeds } from '../../decisions';
import { GaugeSource, type GaugeReading } from '../../services';

/** @internal */
export class SpeedGauges extends GaugeSource {
  constructor(
    private readonly speeds: EndpointSpeeds,
    private readonly clock: Clock,
  ) {
    super();
  }

  listGauges(): ReadonlyArray<GaugeReading> {
    return [
      {
        name: 'endpoints_of_other_speed',
        help: 'Endpoints that are lastingly faster or slower than the median of their service.',
        value: this.speeds.countDifferent(this.clock.nowMs()),
      },
    ];
  }
}
