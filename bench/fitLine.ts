/**
 * Least squares: the slope of a cost over a count, with how well the line fits.
 */

export interface FittedLine {
  /** Cost for each further unit. */
  readonly slope: number;
  /** Cost at zero units. */
  readonly offset: number;
  /** Share of the variance that the line explains; 1 is a perfect fit. */
  readonly fit: number;
}

/** A count and the cost that was measured at it. */
export type Measurement = readonly [count: number, cost: number];

function average(values: ReadonlyArray<number>): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

export function fitLine(points: ReadonlyArray<Measurement>): FittedLine {
  const meanCount = average(points.map(([count]) => count));
  const meanCost = average(points.map(([, cost]) => cost));
  const covariance = average(points.map(([x, y]) => (x - meanCount) * (y - meanCost)));
  const variance = average(points.map(([x]) => (x - meanCount) ** 2));
  const slope = covariance / variance;
  const offset = meanCost - slope * meanCount;
  const residual = average(points.map(([x, y]) => (y - offset - slope * x) ** 2));
  const spread = average(points.map(([, y]) => (y - meanCost) ** 2));
  return { slope, offset, fit: spread === 0 ? 1 : 1 - residual / spread };
}

/** One line of a report, with the cost at the sizes measured and the slope. */
export function formatFittedLine(
  name: string,
  unit: string,
  points: ReadonlyArray<Measurement>,
): string {
  const { slope, offset, fit } = fitLine(points);
  const measured = points.map(([count, cost]) => `${count}: ${cost.toFixed(1)}`).join(', ');
  return (
    `${name}: ${slope.toPrecision(3)} ${unit} each, ${offset.toPrecision(3)} at none, ` +
    `fit ${fit.toFixed(4)} (${measured})`
  );
}
