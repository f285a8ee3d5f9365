/**
 * What follows from a published value that can't be read: an endpoint counts as removed, a
 * configuration leaves the version in force unconfirmed, and each value is logged once.
 */
import type { Kernel } from '../../kernel';
import type { PublishedChange } from '../../services';
import type { ConfigurationInForce } from './ConfigurationInForce';
import type { EndpointDepartures } from './EndpointDepartures';
import { ReportedValues } from './ReportedValues';

type UnreadableChange = Extract<PublishedChange, { readonly kind: 'unreadable' }>;

/** @internal */
export class UnreadableValues {
  private readonly reportedValues = new ReportedValues();

  constructor(
    private readonly kernel: Kernel,
    private readonly inForce: ConfigurationInForce,
    private readonly departures: EndpointDepartures,
  ) {}

  /** @param isComplete whether the value is part of a full read. */
  apply(change: UnreadableChange, isComplete: boolean): void {
    const { key, reason, position, endpointId, isConfiguration } = change;
    if (this.reportedValues.add(change)) {
      this.kernel.log.warn('published value ignored', { key, ...position, reason, isComplete });
    }
    if (!position) return;
    if (endpointId !== undefined) this.departures.applyUnreadable(endpointId, position);
    if (isConfiguration) this.inForce.markUnreadable(position);
  }
}
