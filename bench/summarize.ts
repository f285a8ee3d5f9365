/**
 * Mean and quantiles of measured times.
 */

export interface Summary {
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
  readonly mean: number;
  readonly count: number;
}

const DECIMALS = 1_000;

/** Rounded to three decimals. */
export function summarize(values: ReadonlyArray<number>): Summary {
  const sorted = [...values].sort((a, b) => a - b);
  const round = (value: number): number => Math.round(value * DECIMALS) / DECIMALS;
  const pick = (quantile: number): number =>
    round(sorted[Math.min(sorted.length - 1, Math.floor(quantile * sorted.length))] ?? NaN);
  const mean = round(values.reduce((sum, value) => sum + value, 0) / values.length);
  return { p50: pick(0.5), p95: pick(0.95), p99: pick(0.99), mean, count: values.length };
}
