import { setImmediate as turn } from 'node:timers/promises';
import { REQUEST_QUOTA_OPTIONS, type NodeRoster } from '../../decisions';
import { Members, ServingMetrics } from '../../services';
import type { PlacementInput } from './EndpointPlacer';
import { createScene, type Scene } from './placementFixtures';

/** Makes engines cold; the node's share of their quota is lost once the given calls have asked. */
function limit(scene: Scene, callsWithShare: number, coldEngines = Infinity): PlacementInput {
  const { kernel, store, work } = scene;
  let calls = 0;
  const getRoster = (): NodeRoster => {
    calls += 1;
    return { vmIds: [kernel.settings.vmId], unheardCount: 0, isComplete: calls <= callsWithShare };
  };
  Object.assign(kernel.get(Members), { getRoster });
  const cold = store.listAll().slice(0, coldEngines);
  cold.forEach((backEnd) => store.recordColdAnswer(backEnd, 10_000));
  const profile = work.configuration.services.get('writers')!;
  const services = new Map([['writers', { ...profile, coldRequestsPerSecond: 1 }]]);
  return { ...work, configuration: { ...work.configuration, services } };
}

// Guards against an internal error when nodes are heard of, or lost, in the midst of a placement.
test('a share that is lost during a placement refuses the request', () => {
  const scene = createScene(undefined);
  const work = limit(scene, 4);
  expect(() => scene.placer.place(work, [], 'route')).toThrow(
    expect.objectContaining({
      kind: 'no-endpoint',
      retryAfterMs: REQUEST_QUOTA_OPTIONS.coldWindowMs,
    }),
  );
  expect(scene.kernel.logLines.filter(({ outcome }) => outcome === 'place')).toEqual([]);
});

// Guards against a generation that fails although it may wait.
test('a share that is lost during a placement lets a generation wait', async () => {
  const scene = createScene(undefined);
  const work = limit(scene, 4);
  const { clock } = scene.kernel;
  const leaving = new AbortController();
  const waiting = scene.placer.placeOrWait(work, clock.nowMs() + 5_000, leaving.signal);
  const outcome = waiting.catch((thrown: unknown) => thrown);
  await turn();
  expect(await Promise.race([outcome, Promise.resolve('waits')])).toBe('waits');
  leaving.abort();
  await outcome;
});

// Guards against counting a request that waits for full warm engines as one that a quota keeps out.
test.each([
  ['one engine', 1, false],
  ['all engines', 4, true],
])('a wait counts as refused by quota when %s lack it', async (_name, coldEngines, isCounted) => {
  const scene = createScene(undefined, 1);
  const { kernel, placer } = scene;
  const countQuotaRequest = jest.fn();
  for (let held = 0; held < 4; held += 1) placer.place(scene.work, [], 'route');
  const work = limit(scene, 0, coldEngines);
  Object.assign(kernel.get(ServingMetrics), { countQuotaRequest });
  const leaving = new AbortController();
  const waiting = placer.placeOrWait(work, kernel.clock.nowMs() + 5_000, leaving.signal);
  leaving.abort();
  await Promise.allSettled([waiting]);
  expect(countQuotaRequest.mock.calls.length > 0).toBe(isCounted);
});
