/**
 * Estimates the output of a generation, from observed lengths and the caller's hint.
 */
import type { LengthForecast } from './LengthEstimator';

export const OUTPUT_ESTIMATE_OPTIONS = {
  /** Quantile of the observed lengths. Half of the generations would exceed the median. */
  quantile: 0.7,
  /** Factor applied to a hint for headroom, as a hint matches only the median. */
  hintMargin: 1.3,
  /** Expected further growth of a generation longer than its hint, as a share of its length. */
  overrunGrowthShare: 0.3,
} as const;

/** Estimates the tokens that follow those produced so far. */
export function estimateRemainingTokens(
  forecast: LengthForecast,
  hintTokens: number | undefined,
  producedTokens: number,
  maxOutputTokens: number,
): number {
  const allowedTokens = Math.max(0, maxOutputTokens - producedTokens);
  const predicted = forecast.predictRemainingTokens(
    producedTokens,
    OUTPUT_ESTIMATE_OPTIONS.quantile,
  );
  if (hintTokens === undefined) return Math.min(allowedTokens, predicted);
  const { hintMargin, overrunGrowthShare } = OUTPUT_ESTIMATE_OPTIONS;
  const hinted = Math.max(
    hintTokens * hintMargin - producedTokens,
    producedTokens * overrunGrowthShare,
  );
  return Math.min(allowedTokens, hinted);
}
