import fc from 'fast-check';
import { ManualClock, type Contract, type Decision, type RequestId } from '../../core';
import { createEngineView, GENERATION_KIND } from '../../decisions/routingFixtures';
import type { Assignment, DecisionLog, Fleet, FleetEndpoint, RoutedWork } from '../../services';
import { EndpointRouter } from './EndpointRouter';

/** Enough memory for one request of the test kind with its margin (320), but not for two (517). */
const TOKENS_FOR_ONE = 450;

function createFixture(endpoints: ReadonlyArray<FleetEndpoint>) {
  const clock = new ManualClock();
  const decisions: Array<Omit<Decision, 'wallMs'>> = [];
  const listeners: Array<() => void> = [];
  const state = { endpoints };
  const fleet = {
    self: { vmId: 'entry-1', dataCentre: 'brisbane', region: 'seq' },
    listNodes: () => [],
    listEndpoints: () => state.endpoints,
    findEndpoint: (id: string) => state.endpoints.find(({ endpointId }) => endpointId === id),
    onReports: (listener: () => void) => listeners.push(listener),
  } as unknown as Fleet;
  const log = { record: (line: Decision) => decisions.push(line) } as unknown as DecisionLog;
  const { signal: stopSignal } = new AbortController();
  const router = new EndpointRouter({ fleet, decisions: log, clock, seed: 1, stopSignal });
  const report = (next: ReadonlyArray<FleetEndpoint>): void => {
    state.endpoints = next;
    listeners.forEach((listener) => listener());
  };
  return { clock, decisions, router, report };
}

function createEngine(memoryTotalTokens: number, used = 0, index = 0): FleetEndpoint {
  const { report, ...view } = createEngineView(index);
  const running = used > 0 ? 1 : 0;
  return { ...view, report: { ...report!, memoryTotalTokens, memoryUsedTokens: used, running } };
}

function createWork(name: string, kind: Partial<typeof GENERATION_KIND> = {}): RoutedWork {
  return {
    requestId: name as RequestId,
    inForce: { contract: { customer: 'cafe', homeRegion: 'seq' } as Contract, revision: 7 },
    clause: { kind: { ...GENERATION_KIND, ...kind }, path: 'kindsOfWork[0]' },
    promptTokens: 100,
    prefixHash: undefined,
    excluded: [],
  };
}

const { signal: NEVER } = new AbortController();
const DONE = { complete: false, outputTokens: 0 };

async function settle(): Promise<void> {
  await new Promise((resolve) => {
    setImmediate(resolve);
  });
}

// Guards against lost wake-ups, lost reservations and requests that are served out of order.
test('serves every request once, by rank and deadline', async () => {
  const arrivals = fc.array(fc.tuple(fc.nat({ max: 2 }), fc.integer({ min: 1, max: 5 })), {
    minLength: 1,
    maxLength: 12,
  });
  await fc.assert(
    fc.asyncProperty(arrivals, async (all) => {
      const { router } = createFixture([createEngine(TOKENS_FOR_ONE)]);
      const first = await router.assign(createWork('first'), NEVER);
      const served: number[] = [];
      const tasks = all.map(async ([rank, wait], index) => {
        const work = createWork(`r${index}`, { rank, maxWaitMs: wait * 10_000 });
        const assignment = await router.assign(work, NEVER);
        served.push(index);
        expect(router.reservedCount).toBe(1);
        assignment.release(DONE);
        assignment.release(DONE);
      });
      await settle();
      first.release(DONE);
      await Promise.all(tasks);
      const expected = all
        .map(([rank, wait], index) => ({ rank, wait, index }))
        .sort((a, b) => a.rank - b.rank || a.wait - b.wait || a.index - b.index);
      expect(served).toEqual(expected.map(({ index }) => index));
      expect([router.reservedCount, router.waitingCount]).toEqual([0, 0]);
    }),
    { seed: 1, numRuns: 60 },
  );
});

// Guards against starvation: later requests of the same rank keep overtaking an early one.
test('serves the oldest of a rank although others keep arriving', async () => {
  const { router, clock } = createFixture([createEngine(TOKENS_FOR_ONE)]);
  const served: string[] = [];
  const held: Assignment[] = [];
  const run = async (name: string, maxWaitMs: number): Promise<void> => {
    held.push(await router.assign(createWork(name, { maxWaitMs }), NEVER));
    served.push(name);
  };
  const tasks = [run('first', 1_000), run('oldest', 5_000)];
  for (let round = 0; round < 15; round++) {
    clock.advance(300);
    tasks.push(run(`later-${round}`, 3_000));
    await settle();
    held.pop()?.release({ complete: false, outputTokens: 500 });
    await settle();
  }
  expect(served).toContain('oldest');
  while (held.length > 0) {
    held.pop()?.release(DONE);
    await settle();
  }
  await Promise.all(tasks);
});

// Guards against requests that keep waiting although a newer report shows free memory.
test('wakes waiting work on a newer report', async () => {
  const { router, report, decisions } = createFixture([createEngine(TOKENS_FOR_ONE, 900)]);
  const waiting = router.assign(createWork('a', { maxWaitMs: 120_000 }), NEVER);
  await settle();
  expect(decisions.map(({ step }) => step)).toEqual(['wait']);
  report([createEngine(TOKENS_FOR_ONE)]);
  expect((await waiting).endpoint.endpointId).toBe('engine-0');
  expect(decisions[1]).toMatchObject({ step: 'route', chosen: 'engine-0', contractRevision: 7 });
});

// Guards against a longer wait than the contract allows, and a refusal without its clause.
test('refuses at the deadline and names the clause', async () => {
  const { router, clock, decisions } = createFixture([createEngine(TOKENS_FOR_ONE, 900)]);
  const waiting = router.assign(createWork('a', { maxWaitMs: 120_000 }), NEVER);
  const refused = expect(waiting).rejects.toMatchObject({
    kind: 'overloaded',
    clause: 'kindsOfWork[0].maxWaitMs',
    retryAfterMs: expect.any(Number),
  });
  await settle();
  expect(router.waitingCount).toBe(1);
  clock.advance(120_000);
  await refused;
  expect(decisions.at(-1)?.reason).toContain('kindsOfWork[0].maxWaitMs');
  expect(router.waitingCount).toBe(0);
});

// Guards against memory that stays reserved for a caller that has disconnected.
test.each([['while it waits'], ['in the turn in which it is served']])(
  'leaves no reservation for a request cancelled %s',
  async (moment) => {
    const { router } = createFixture([createEngine(TOKENS_FOR_ONE)]);
    const first = await router.assign(createWork('first'), NEVER);
    const caller = new AbortController();
    const waiting = expect(router.assign(createWork('a'), caller.signal)).rejects.toMatchObject({
      kind: 'overloaded',
    });
    await settle();
    if (moment !== 'while it waits') first.release(DONE);
    caller.abort();
    await waiting;
    first.release(DONE);
    expect([router.reservedCount, router.waitingCount]).toEqual([0, 0]);
  },
);

// Guards against calls that queue behind generations.
test('assigns calls at once while generations wait', async () => {
  const service = createEngine(0, 0, 1);
  const lookup = {
    name: 'status-lookup',
    type: 'call',
    service: 'status',
    repeatable: true,
    rank: 9,
    answerWithinMs: 1_000,
    attempts: 1,
  } as const;
  const { router } = createFixture([
    createEngine(TOKENS_FOR_ONE, 900),
    { ...service, report: undefined, vm: { ...service.vm, models: [], service: 'status' } },
  ]);
  router.assign(createWork('a', { maxWaitMs: 120_000 }), NEVER).catch(() => {});
  await settle();
  const work = { ...createWork('b'), clause: { kind: lookup, path: 'kindsOfWork[1]' } };
  expect((await router.assign(work, NEVER)).endpoint.vm.service).toBe('status');
  expect(router.waitingCount).toBe(1);
});
