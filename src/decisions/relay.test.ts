import fc from 'fast-check';
import { decideRelay } from './relay';

// Guards against relaying a token twice, out of order or after a missing one.
test('relays a contiguous prefix of any arrivals', () => {
  fc.assert(
    fc.property(fc.nat(5), fc.array(fc.integer({ min: -1, max: 12 })), (first, arrivals) => {
      const relayed: number[] = [];
      for (const position of arrivals) {
        const verdict = decideRelay(first + relayed.length, position);
        if (verdict.action === 'stop') break;
        if (verdict.action === 'relay') relayed.push(position);
      }
      expect(relayed).toEqual(relayed.map((_, index) => first + index));
    }),
    { seed: 1, numRuns: 500 },
  );
});

// Guards against counting an event without a valid id as a token.
test.each([NaN, -1, 0.5])('stops at position %p', (position) => {
  expect(decideRelay(0, position).action).toBe('stop');
});
