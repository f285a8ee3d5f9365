import type { SourcePosition } from '../core';
import { isRegisteredAnew } from './departures';

const at = (era: number, revision: number): SourcePosition => ({ era, revision });

// Guards against work for an engine that left, because an older copy of the source lists it as ready,
// and against an engine that never gets work again after it has registered anew.
test.each([
  ['a later entry of the era', 5, at(1, 15), true],
  ['an earlier entry of the era', 5, at(1, 13), false],
  ['the copy', 5, at(2, 11), false],
  ['an entry of the era before', 5, at(0, 20), false],
  ['an entry written in the new era', 5, at(2, 13), true],
  ['an entry above the departure', 5, at(2, 15), true],
  ['a new process in the copy', 6, at(2, 11), true],
  ['an older process in the new era', 4, at(2, 20), false],
])('%s', (_name, startedAtWallMs, position, expected) => {
  const departure = { startedAtWallMs: 5, position: at(1, 14) };
  expect(isRegisteredAnew({ startedAtWallMs, position }, departure, at(2, 12))).toBe(expected);
});
