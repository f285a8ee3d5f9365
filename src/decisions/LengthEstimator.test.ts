import fc from 'fast-check';
import type { CustomerId } from '../core';
import { LengthEstimator } from './LengthEstimator';
import { LENGTH_OPTIONS } from './options';

const KEY = {
  customer: 'cafe' as CustomerId,
  kindOfWork: 'audit-summary',
  maxOutputTokens: 1_000_000,
};

function learn(lengths: ReadonlyArray<number>): LengthEstimator {
  const estimator = new LengthEstimator();
  lengths.forEach((tokens) => estimator.observe(KEY, tokens));
  return estimator;
}

// Guards against reserving less than the observed quantile of earlier generations.
test('never predicts below the observed quantile', () => {
  const lengths = fc.array(fc.integer({ min: 1, max: 100_000 }), { minLength: 8, maxLength: 200 });
  const quantiles = fc.constantFrom(0.5, 0.9, 0.99);
  fc.assert(
    fc.property(lengths, quantiles, fc.double({ min: 0, max: 1, noNaN: true }), (all, q, share) => {
      const sorted = [...all].sort((a, b) => a - b);
      const produced = Math.floor(share * sorted[sorted.length - 8]!);
      const above = sorted.filter((tokens) => tokens > produced);
      const exact = above[Math.max(0, Math.ceil(q * above.length) - 1)]! - produced;
      const predicted = learn(all).getForecast(KEY).predictRemainingTokens(produced, q);
      expect(predicted).toBeGreaterThanOrEqual(exact);
    }),
    { seed: 1, numRuns: 500 },
  );
});

// Guards against a histogram so coarse that it reserves far more than was needed.
test('overestimates by one bucket at most', () => {
  const forecast = learn(Array.from({ length: 100 }, (_, index) => 1_000 + index)).getForecast(KEY);
  const bucket = 2 ** (1 / LENGTH_OPTIONS.bucketsPerDoubling);
  expect(forecast.predictRemainingTokens(0, 0.9)).toBeLessThanOrEqual(1_090 * bucket);
});

// Guards against predicting no output for the first requests of a new customer.
test('falls back to the kind and then to the contract', () => {
  const estimator = new LengthEstimator();
  const stranger = { ...KEY, customer: 'other' as CustomerId, maxOutputTokens: 400 };
  expect(estimator.getForecast(stranger).predictRemainingTokens(0, 0.9)).toBe(200);
  for (let count = 0; count < 20; count++) estimator.observe(KEY, 64);
  expect(estimator.getForecast(stranger).getBasis(0)).toBe('kind');
  expect(estimator.getForecast(stranger).predictRemainingTokens(0, 0.9)).toBe(64);
  expect(estimator.getForecast(KEY).getBasis(0)).toBe('customer');
});

// Guards against predictions that don't adapt when output lengths change.
test('old lengths lose weight', () => {
  const estimator = learn(Array.from({ length: 500 }, () => 4_096));
  for (let count = 0; count < 3_000; count++) estimator.observe(KEY, 64);
  expect(estimator.getForecast(KEY).predictRemainingTokens(0, 0.9)).toBe(64);
});

// Guards against memory use that grows with every customer.
test('holds a bounded number of histograms', () => {
  const estimator = new LengthEstimator({ maxCustomerHistograms: 100 });
  for (let count = 0; count < 11_000; count++) {
    estimator.observe({ ...KEY, customer: `team-${count}` as CustomerId }, 64);
  }
  expect(estimator.size).toBe(101);
  const evicted = { ...KEY, customer: 'team-1' as CustomerId };
  expect(estimator.getForecast(evicted).getBasis(0)).toBe('kind');
});
