import { computeFreshnessThresholds, computeWatchTimeoutMs } from './freshness';

// Guards against a node that refuses keys between two watches where removals must take effect
// sooner.
test.each([1_000, 3_000, 5_000, 60_000])(
  'the thresholds keep their order at %i ms',
  (allowedMs) => {
    const { watchTimeoutMs, relayAfterMs, maxRelayAgeMs, staleForCallersMs } =
      computeFreshnessThresholds(allowedMs);
    const ages = [watchTimeoutMs, relayAfterMs, maxRelayAgeMs, staleForCallersMs, allowedMs];
    expect([...ages].sort((a, b) => a - b)).toEqual(ages);
    expect(staleForCallersMs).toBeLessThanOrEqual(2_800);
  },
);

// Guards against an age that accumulates over two watches when the first returned a change.
test.each([
  ['just confirmed', 0, 1_900],
  ['after a change', 1_200, 700],
  ['after a late change', 1_900, 200],
  ['after an outage', 9_000, 0],
  ['after a suspension', Infinity, 0],
])('watch timeout %s', (_name, ageMs, expected) => {
  expect(computeWatchTimeoutMs(ageMs, computeFreshnessThresholds(5_000))).toBe(expected);
});

// Guards against nodes that read the source themselves, or turn callers away, although a reader is
// alive: what it reads may wait at it and at an aggregator on the way.
test('a copy stays fresh over two nodes', () => {
  const HOP_MS = 450;
  const { readerWatchTimeoutMs, readerMaxAgeMs, relayAfterMs } = computeFreshnessThresholds(5_000);
  expect(readerWatchTimeoutMs + HOP_MS).toBeLessThan(readerMaxAgeMs);
  expect(readerWatchTimeoutMs + 2 * HOP_MS).toBeLessThan(relayAfterMs);
});
