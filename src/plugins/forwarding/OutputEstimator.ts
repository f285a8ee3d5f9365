/**
 * Estimates the output length of generations, by customer and route.
 */
import type { CustomerId } from '../../core';
import { estimateRemainingTokens, LengthEstimator, type LengthKey } from '../../decisions';
import type { PromptSize } from '../../services';

const ANONYMOUS = 'anonymous' as CustomerId;

/** Properties of a request that its estimated output length depends on. @internal */
export interface EstimateInput {
  readonly customer: CustomerId | undefined;
  readonly routeName: string;
  readonly prompt: PromptSize | undefined;
}

function getKey({ customer, routeName }: EstimateInput, maxOutputTokens: number): LengthKey {
  return { customer: customer ?? ANONYMOUS, kindOfWork: routeName, maxOutputTokens };
}

/** @internal */
export class OutputEstimator {
  private readonly estimator = new LengthEstimator();

  /** Records the output length of a completed generation. */
  observe(work: EstimateInput, outputTokens: number): void {
    if (!work.prompt) return;
    this.estimator.observe(getKey(work, work.prompt.maxOutputTokens), outputTokens);
  }

  /** Returns the number of output tokens still expected of a generation; 0 for calls. */
  getRemaining(work: EstimateInput, producedTokens: number): number {
    if (!work.prompt) return 0;
    const { maxOutputTokens, expectedOutputTokens } = work.prompt;
    const forecast = this.estimator.getForecast(getKey(work, maxOutputTokens));
    return estimateRemainingTokens(forecast, expectedOutputTokens, producedTokens, maxOutputTokens);
  }
}
