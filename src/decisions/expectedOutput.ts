/**
 * Output that a generation is expected to have, from what was learnt and from the caller's hint.
 */
import type { LengthForecast } from './LengthEstimator';

export const OUTPUT_ESTIMATE_OPTIONS = {
  /** Quantile of the learnt lengths. A median would be outrun by half of the generations. */
  quantile: 0.7,
  /** A hint is right at the median; the room above it. */
  hintMargin: 1.3,
  /** Growth that is expected of a generation that has outrun its hint, as a share of its length. */
  overrunGrowthShare: 0.3,
} as const;

/** Tokens that are still to come after those made so far. */
export function estimateRemainingTokens(
  forecast: LengthForecast,
  hintTokens: number | undefined,
  producedTokens: number,
  maxOutputTokens: number,
): number {
  const allowedTokens = Math.max(0, maxOutputTokens - producedTokens);
  const learnt = forecast.predictRemainingTokens(producedTokens, OUTPUT_ESTIMATE_OPTIONS.quantile);
  if (hintTokens === undefined) return Math.min(allowedTokens, learnt);
  const { hintMargin, overrunGrowthShare } = OUTPUT_ESTIMATE_OPTIONS;
  const hinted = Math.max(
    hintTokens * hintMargin - producedTokens,
    producedTokens * overrunGrowthShare,
  );
  return Math.min(allowedTokens, hinted);
}
