/**
 * Least-squares fit of a cost over a count.
 */

export interface FittedLine {
  /** Cost of each additional unit. */
  readonly slope: number;
  /** Cost at zero units. */
  readonly intercept: number;
  /** Share of the variance that the line explains; 1 is a perfect fit. */
  readonly rSquared: number;
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
  const countVariance = average(points.map(([x]) => (x - meanCount) ** 2));
  const slope = covariance / countVariance;
  const intercept = meanCost - slope * meanCount;
  const residualVariance = average(points.map(([x, y]) => (y - intercept - slope * x) ** 2));
  const costVariance = average(points.map(([, y]) => (y - meanCost) ** 2));
  return {
    slope,
    intercept,
    rSquared: costVariance === 0 ? 1 : 1 - residualVariance / costVariance,
  };
}

/** Formats the fitted line and the measured costs in one line of text. */
export function formatFittedLine(
  name: string,
  unit: string,
  points: ReadonlyArray<Measurement>,
): string {
  const { slope, intercept, rSquared } = fitLine(points);
  const measured = points.map(([count, cost]) => `${count}: ${cost.toFixed(1)}`).join(', ');
  return (
    `${name}: ${slope.toPrecision(3)} ${unit} each, ${intercept.toPrecision(3)} at zero, ` +
    `R² ${rSquared.toFixed(4)} (${measured})`
  );
}
