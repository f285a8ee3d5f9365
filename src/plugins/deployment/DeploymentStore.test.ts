import fc from 'fast-check';
import type { BackEnd, EndpointId, ServingBounds } from '../../core';
import { TestKernel } from '../../kernel/TestKernel';
import { DeploymentStore } from './DeploymentStore';

const bounds = { revocationWithinMs: 4_000 } as ServingBounds;
const value = { key: 'endpoint', text: '{}', revision: 7 };

const engine: BackEnd = {
  endpointId: 'i-1' as EndpointId,
  service: 'writers',
  address: '10.0.0.1:80',
  dataCentre: 'brisbane',
  slots: 4,
  isLeaving: false,
  warmUpMs: 0,
  startedAtWallMs: 1,
};

function createBook(): { readonly kernel: TestKernel; readonly book: DeploymentStore } {
  const kernel = new TestKernel([]);
  return { kernel, book: new DeploymentStore(kernel, bounds, new Map()) };
}

// Guards against an answer from before a suspension that passes for a fresh one: the monotonic clock
// stood still, so only the time of day shows how long it waited.
test('an answer that waited through a suspension confirms nothing', () => {
  const { kernel, book } = createBook();
  const asked = book.readClocks();
  kernel.manualClock.suspend(9_000);
  book.confirm(asked.nowMs, asked);
  expect(book.getConfirmedAgeMs()).toBe(Infinity);
});

// Guards against calls that go on waiting after a suspension, with an age that nobody knows.
test('a suspension makes the age unknown and ends the calls that wait', () => {
  const { kernel, book } = createBook();
  const asked = book.readClocks();
  book.confirm(asked.nowMs, asked);
  const doubt = book.watchForSuspension();
  kernel.manualClock.suspend(3_000);
  expect(book.getConfirmedAgeMs()).toBe(Infinity);
  book.sweep();
  expect(doubt.signal.aborted).toBe(true);
  const askedAgain = book.readClocks();
  book.confirm(askedAgain.nowMs, askedAgain);
  kernel.manualClock.advance(500);
  expect(book.getConfirmedAgeMs()).toBe(500);
});

// Guards against runs that are moved away from engines whose entries only lapsed with the source.
test('an entry that lapsed while the source was away has time to come back', () => {
  const { kernel, book } = createBook();
  const asked = book.readClocks();
  book.confirm(asked.nowMs, asked);
  book.applyEndpoint(engine, value);
  book.markSourceUnavailable('refused');
  book.removeEndpoint(engine.endpointId, 8);
  kernel.manualClock.advance(10_000);
  book.sweep();
  expect(book.listAssignable('writers')).toHaveLength(1);
  const askedAgain = book.readClocks();
  book.confirm(askedAgain.nowMs, askedAgain);
  kernel.manualClock.advance(2_000);
  book.sweep();
  expect(book.listAssignable('writers')).toHaveLength(1);
  kernel.manualClock.advance(500);
  book.sweep();
  expect(book.listAssignable('writers')).toHaveLength(0);
});

// Guards against a departure that is told twice, and against one that is taken back by mistake.
test('a departure that another node knows is told once', () => {
  const { book } = createBook();
  const left: BackEnd[] = [];
  book.onLeaving((backEnd) => left.push(backEnd));
  book.applyEndpoint(engine, value);
  book.applyDeparture(engine.endpointId, 8);
  book.applyDeparture(engine.endpointId, 8);
  expect(left).toHaveLength(1);
  expect(book.listAssignable('writers')).toHaveLength(0);
});

// Guards against a departure that a node takes back because another one, or a stale read, tells it an
// older state; both nodes would then send requests to an engine that is gone.
test('an older state of an endpoint changes nothing', () => {
  const { book } = createBook();
  book.applyEndpoint(engine, value);
  book.removeEndpoint(engine.endpointId, 9);
  book.applyEndpoint(engine, { ...value, revision: 8 });
  expect(book.listAssignable('writers')).toHaveLength(0);
  book.applyEndpoint(engine, { ...value, revision: 10 });
  book.applyDeparture(engine.endpointId, 9);
  expect(book.listAssignable('writers')).toHaveLength(1);
});

// Guards against an endpoint that was removed before the node started, and that another node lists.
test('an unknown endpoint from before the read of the list is not taken', () => {
  const { book } = createBook();
  book.markCompleteTo(7);
  book.applyEndpoint(engine, value);
  expect(book.listAll()).toHaveLength(0);
});

type Told = 'ready' | 'leaving' | 'removed' | 'departed';

function tell(book: DeploymentStore, told: Told, revision: number): void {
  const isLeaving = told === 'leaving';
  if (told === 'ready' || isLeaving) {
    book.applyEndpoint({ ...engine, isLeaving }, { ...value, revision });
  }
  if (told === 'removed') book.removeEndpoint(engine.endpointId, revision);
  if (told === 'departed') book.applyDeparture(engine.endpointId, revision);
}

// Guards against a state that depends on the order in which the source, stale reads and other nodes
// tell it: a node would send work to an engine that is gone, or none to one that is there.
test('the newest state holds, in whatever order the states are told', () => {
  const history = fc.array(fc.constantFrom<Told>('ready', 'leaving', 'removed', 'departed'), {
    minLength: 1,
    maxLength: 8,
  });
  const states = history.chain((later) => {
    const all = (['ready', ...later] as const).map((told, index) => ({
      told,
      revision: index + 1,
    }));
    const repeats = fc.array(fc.constantFrom(...all), { maxLength: 8 });
    return repeats.chain((extra) =>
      fc.shuffledSubarray([...all, ...extra], { minLength: all.length + extra.length }),
    );
  });
  fc.assert(
    fc.property(states, (told) => {
      const { book } = createBook();
      book.applyEndpoint(engine, { ...value, revision: 1 });
      told.forEach((state) => tell(book, state.told, state.revision));
      const newest = told.reduce((a, b) => (b.revision > a.revision ? b : a));
      const isAssignable = book.listAssignable('writers').length === 1;
      expect(isAssignable).toBe(newest.told === 'ready');
    }),
    { numRuns: 500, seed: 20261204 },
  );
});
