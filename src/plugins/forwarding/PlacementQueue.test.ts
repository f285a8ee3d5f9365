import { ManualClock } from '../../core';
import { PlacementQueue } from './PlacementQueue';

function createScene(): {
  readonly clock: ManualClock;
  readonly placed: string[];
  readonly look: () => void;
  readonly setRoom: (room: number) => void;
  readonly add: (name: string, rank: number) => Promise<void>;
} {
  const clock = new ManualClock();
  const waiters = new PlacementQueue(clock);
  const placed: string[] = [];
  let room = 0;
  const tryToPlace = (name: string): boolean => {
    if (room === 0) return false;
    room -= 1;
    placed.push(name);
    return true;
  };
  return {
    clock,
    placed,
    look: () => {
      waiters.retryAll();
    },
    setRoom: (count) => {
      room = count;
    },
    add: async (name, rank) =>
      waiters.wait(rank, clock.nowMs() + 700, new AbortController().signal, () => tryToPlace(name)),
  };
}

// Guards against long work that takes the room which a more urgent request waits for.
test('places in the order of rank, then of arrival', async () => {
  const { placed, look, setRoom, add } = createScene();
  const waits = [add('report', 1), add('label', 0), add('second label', 0)];
  setRoom(2);
  look();
  expect(placed).toEqual(['label', 'second label']);
  setRoom(1);
  look();
  await Promise.all(waits);
  expect(placed).toEqual(['label', 'second label', 'report']);
});

// Guards against a request that is held until its caller gives up.
test('ends the wait at its deadline and forgets the waiter', async () => {
  const { clock, placed, look, setRoom, add } = createScene();
  const wait = add('report', 1);
  clock.advance(700);
  await wait;
  setRoom(1);
  look();
  expect(placed).toEqual([]);
});
