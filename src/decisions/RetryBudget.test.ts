import fc from 'fast-check';
import { RetryBudget } from './RetryBudget';

const RULES = { retryShare: 0.2, retryAllowance: 56, retryWindowMs: 10_000 };

// Guards against nodes that together send more retries than the service accepts in a window.
test('nodes together stay under the budget in every window', () => {
  const events = fc.array(
    fc.record({
      node: fc.integer({ min: 0, max: 7 }),
      gapMs: fc.integer({ min: 0, max: 400 }),
      isRetry: fc.boolean(),
    }),
    { minLength: 100, maxLength: 400 },
  );
  fc.assert(
    fc.property(events, (list) => {
      const budgets = Array.from({ length: 8 }, () => new RetryBudget(RULES));
      const requests: number[] = [];
      const retries: number[] = [];
      let nowMs = 0;
      list.forEach(({ node, gapMs, isRetry }) => {
        nowMs += gapMs;
        const budget = budgets[node]!;
        if (!isRetry) {
          budget.recordRequest('desk', nowMs);
          requests.push(nowMs);
        } else if (budget.tryConsume('desk', nowMs, 8)) retries.push(nowMs);
      });
      const countIn = (times: number[], endMs: number): number =>
        times.filter((time) => time > endMs - RULES.retryWindowMs && time <= endMs).length;
      retries.forEach((endMs) => {
        const allowed = RULES.retryShare * countIn(requests, endMs) + RULES.retryAllowance;
        expect(countIn(retries, endMs)).toBeLessThanOrEqual(allowed);
      });
    }),
    { seed: 20261204, numRuns: 60 },
  );
});

// Guards against retries to one service that use up the budget of another.
test('each service has its own budget', () => {
  const budget = new RetryBudget(RULES);
  while (budget.tryConsume('desk', 0, 8));
  expect(budget.tryConsume('desk', 0, 8)).toBe(false);
  expect(budget.tryConsume('engines', 0, 8)).toBe(true);
  expect(budget.tryConsume('desk', RULES.retryWindowMs + 1, 8)).toBe(true);
});
