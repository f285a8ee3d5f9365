/**
 * Gauges that are read when the metrics are collected. Plug-ins register any number of sources.
 */

/** One value of a gauge. @public */
export interface GaugeReading {
  /** Without the product's prefix; ends in its unit, such as `_seconds`. */
  readonly name: string;
  readonly help: string;
  readonly value: number;
  /** The same label names in each reading of one gauge; their values are few and fixed. */
  readonly labels?: Readonly<Record<string, string>>;
}

/** @public */
export abstract class GaugeSource {
  abstract listGauges(): ReadonlyArray<GaugeReading>;
}
