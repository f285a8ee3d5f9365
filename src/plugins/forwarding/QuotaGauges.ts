/**
 * Gauges of the request quotas of endpoints that one source limits.
 */
import { GaugeSource, type GaugeReading } from '../../services';
import type { EndpointQuotas } from './EndpointQuotas';
import type { QuotaSource } from './QuotaSource';

/** Words in the names and descriptions of the gauges. @internal */
export interface QuotaGaugeTexts {
  /** Kind of endpoint, as in `cold`. */
  readonly kind: string;
  readonly endpoints: string;
}

/** @internal */
export class QuotaGauges extends GaugeSource {
  constructor(
    private readonly quotas: EndpointQuotas,
    private readonly source: QuotaSource,
    private readonly texts: QuotaGaugeTexts,
  ) {
    super();
  }

  listGauges(): ReadonlyArray<GaugeReading> {
    const { kind, endpoints } = this.texts;
    const states = this.quotas.listStates(this.source);
    const used = states.reduce((sum, state) => sum + state.used, 0);
    const left = states.reduce((sum, state) => sum + Math.max(0, state.share - state.used), 0);
    return [
      { name: `${kind}_endpoints`, help: `${endpoints}.`, value: states.length },
      {
        name: `${kind}_quota_used_requests`,
        help: `Requests to ${kind} endpoints that count against the share of this node now.`,
        value: used,
      },
      {
        name: `${kind}_quota_left_requests`,
        help: `Requests that this node may still send to ${kind} endpoints now.`,
        value: left,
      },
    ];
  }
}
