/**
 * Gauges of the generations that wait for room, and of the customers' shares of the memory.
 */
import type { FairShares, WaitingRequest } from '../../decisions';
import { GaugeSource, type GaugeReading } from '../../services';

/** Customers with a series of their own. */
const MAX_LISTED_CUSTOMERS = 10;

/** @internal */
export class WaitingGauges extends GaugeSource {
  constructor(
    private readonly shares: FairShares,
    private readonly listWaiting: () => ReadonlyArray<WaitingRequest>,
  ) {
    super();
  }

  listGauges(): ReadonlyArray<GaugeReading> {
    const waiting = this.listWaiting();
    const ranks = [...new Set(waiting.map(({ rank }) => rank))];
    return [
      {
        name: 'waiting_bytes',
        help: 'Memory of this process that requests waiting for room hold.',
        value: waiting.reduce((sum, { heldBytes }) => sum + heldBytes, 0),
      },
      ...ranks.map((rank) => ({
        name: 'waiting_requests',
        help: 'Generations that wait at this node for room on an engine, by rank.',
        value: waiting.filter((request) => request.rank === rank).length,
        labels: { rank: String(rank) },
      })),
      ...this.shares.listLargest(MAX_LISTED_CUSTOMERS).map(({ customer, share }) => ({
        name: 'customer_memory_share',
        help: 'Share of recent engine memory over time that this node gave to a customer.',
        value: share,
        labels: { customer: customer ?? '' },
      })),
    ];
  }
}
