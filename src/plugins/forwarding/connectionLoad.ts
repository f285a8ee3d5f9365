/**
 * What other parts learn of the connections of callers: gauges, and whether the node is full.
 */
import { CallerAdmission, GaugeSource, type GaugeReading } from '../../services';
import type { CallerListener } from './CallerListener';

/** Keeps callers away from a node that has no room for their connections. @internal */
export class ConnectionAdmission extends CallerAdmission {
  constructor(private readonly listener: CallerListener) {
    super();
  }

  takesCallers(): boolean {
    return !this.listener.isFull;
  }
}

/** @internal */
export class ConnectionGauges extends GaugeSource {
  constructor(private readonly listener: CallerListener) {
    super();
  }

  listGauges(): ReadonlyArray<GaugeReading> {
    const { limiter, memory } = this.listener;
    return [
      { name: 'caller_connections', help: 'Open connections of callers.', value: limiter.count },
      {
        name: 'caller_connections_limit',
        help: 'Connections of callers that this node accepts.',
        value: limiter.max,
      },
      {
        name: 'held_bytes',
        help: 'Estimated memory of what callers have sent or not yet read.',
        value: memory.bytes,
      },
      {
        name: 'kept_body_bytes',
        help: 'Memory of request bodies that are kept to be sent again, and given up when it is short.',
        value: memory.reclaimableBytes,
      },
      {
        name: 'held_bytes_limit',
        help: 'Limit of the estimated memory.',
        value: memory.maxBytes,
      },
    ];
  }
}
