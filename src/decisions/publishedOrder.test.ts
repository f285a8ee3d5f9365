import fc from 'fast-check';
import type { PublishedRecord } from '../core';
import { mergeRecords } from './publishedOrder';

const VALID_BODY = JSON.stringify({
  customer: 'cafe',
  keyHashes: ['0'.repeat(64)],
  homeRegion: 'seq',
  limits: { concurrentGenerations: 1, requestsPerSecond: 1 },
  kindsOfWork: [
    { name: 'lookup', type: 'call', service: 's', repeatable: true, rank: 1, answerWithinMs: 1000 },
  ],
});

/** One record for each revision, as the publisher makes it. */
const historyArbitrary = fc
  .array(fc.constantFrom(VALID_BODY, '{"customer":"cafe"}', null), { minLength: 1, maxLength: 6 })
  .map((bodies): ReadonlyArray<PublishedRecord> =>
    bodies.map((body, index) => ({ key: 'contracts/cafe', revision: index + 1, body })),
  );

// Guards against reverting to an older revision when copies arrive out of order.
test('keeps the highest revision in any order of arrival', () => {
  fc.assert(
    fc.property(historyArbitrary, fc.infiniteStream(fc.nat()), (history, picks) => {
      const arrivals = [...picks.take(12)].map((pick) => history[pick % history.length]!);
      let held: PublishedRecord | undefined;
      arrivals.forEach((record) => {
        const before = held?.revision ?? 0;
        held = mergeRecords(held, record);
        expect(held.revision).toBe(Math.max(before, record.revision));
      });
    }),
    { seed: 1, numRuns: 300 },
  );
});

// Guards against a new node that receives only an invalid contract and so refuses the customer.
test('keeps the last valid body beside an invalid one', () => {
  const good = { key: 'contracts/cafe', revision: 1, body: VALID_BODY };
  const bad = { key: 'contracts/cafe', revision: 2, body: '{}' };
  const expected = { ...bad, lastGood: { revision: 1, body: VALID_BODY } };
  expect(mergeRecords(good, bad)).toEqual(expected);
  expect(mergeRecords(bad, good)).toEqual(expected);
  expect(mergeRecords(bad, expected)).toEqual(expected);
});
