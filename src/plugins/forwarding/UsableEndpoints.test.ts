import { setImmediate as turn } from 'node:timers/promises';
import type { AllowedRegions, EndpointId } from '../../core';
import { BOUNDS } from '../../decisions/servingFixtures';
import { configure, createScene, ENGINES, find, type Scene } from './placementFixtures';

let lastRevision = 10;

function evacuate({ store }: Scene, dataCentre: string, isEvacuated = true): void {
  lastRevision += 1;
  const position = { era: 1, revision: lastRevision };
  const change = { key: dataCentre, dataCentre, isEvacuated, position, fault: undefined };
  store.applyChange({ kind: 'evacuation', ...change }, false);
}

function applyVersion({ store }: Scene, version: number, allowedRegions: AllowedRegions): void {
  const value = { key: '', text: '', position: { era: 1, revision: 100 + version } };
  store.setConfiguration(configure(version, allowedRegions), value);
}

/** Each way by which a request or its memory reaches an engine; returns the engine, or none. */
const PATHS: ReadonlyArray<
  readonly [string, (scene: Scene) => Promise<EndpointId | undefined> | EndpointId | undefined]
> = [
  ['first placement', ({ placer, work }) => placer.place(work, [], 'route').backEnd.endpointId],
  ['retry or hedge', ({ placer, work }) => placer.place(work, [], 'retry').backEnd.endpointId],
  [
    'waiting queue',
    async ({ placer, work }) =>
      (await placer.placeOrWait(work, 0, new AbortController().signal)).backEnd.endpointId,
  ],
  [
    'migration',
    (scene) =>
      scene.placer.place(scene.work, [], 'place', 8, find(scene, ENGINES.seq)).backEnd.endpointId,
  ],
  [
    'backup engine',
    (scene) => scene.placer.placeBackup(scene.work, find(scene, ENGINES.seq))?.backEnd.endpointId,
  ],
  [
    'takeover at a backup',
    (scene) =>
      scene.placer.placeAtBackup(scene.work, find(scene, ENGINES.seq2), 8)?.backEnd.endpointId,
  ],
];

async function tryPath(scene: Scene, path: (typeof PATHS)[number][1]): Promise<unknown> {
  try {
    return await path(scene);
  } catch (thrown) {
    expect(thrown).toMatchObject({ kind: 'no-endpoint' });
    return undefined;
  }
}

// Guards against a way around the constraint, also by a version that came after the admission.
test.each(PATHS)('%s keeps to the allowed regions', async (_name, path) => {
  for (let repeat = 0; repeat < 20; repeat++) {
    const scene = createScene(['seq']);
    expect([ENGINES.seq, ENGINES.seq2]).toContain(await tryPath(scene, path));
    applyVersion(scene, 2, ['south']);
    expect(await tryPath(scene, path)).toBeUndefined();
  }
});

// Guards against a way into an evacuated data centre, and against one that stays closed.
test.each(PATHS)('%s keeps out of an evacuated data centre', async (_name, path) => {
  const scene = createScene(['seq']);
  evacuate(scene, 'gympie');
  evacuate(scene, 'gympie');
  for (let repeat = 0; repeat < 20; repeat++) {
    expect(await tryPath(scene, path)).not.toBe(ENGINES.seq2);
  }
  evacuate(scene, 'brisbane');
  expect(await tryPath(scene, path)).toBeUndefined();
  evacuate(scene, 'gympie', false);
  expect(await tryPath(scene, path)).toBe(ENGINES.seq2);
});

// Guards against a refusal that an operator can't understand, and callers who come back at once.
test.each([
  ['evacuated', ['seq'], ['brisbane', 'gympie'], 'evacuated', 'bounds.evacuationWithinMs'],
  ['elsewhere', ['south'], [], 'allowed regions (south)', 'routes.report.allowedRegions'],
  ['gone', undefined, ['brisbane', 'gympie', 'cairns', 'nowhere'], 'evacuated', 'bounds.'],
])('refusal when all are %s', (_name, allowed, dataCentres, reason, clause) => {
  const scene = createScene(allowed);
  dataCentres.forEach((dataCentre) => evacuate(scene, dataCentre));
  const refuse = (): unknown => scene.placer.place(scene.work, [], 'route');
  expect(refuse).toThrow(expect.objectContaining({ kind: 'no-endpoint', retryAfterMs: 1_000 }));
  expect(scene.kernel.logLines.at(-1)).toMatchObject({ outcome: 'refuse' });
  expect(JSON.stringify(scene.kernel.logLines.at(-1))).toContain(reason);
  expect(String(scene.kernel.logLines.at(-1)?.clause)).toContain(clause);
});

// Guards against a request that waits for an engine which it may not use any more, and against a throw
// into whoever freed capacity.
test('a waiting request follows a version and an evacuation', async () => {
  const scene = createScene(['seq'], 1);
  const { placer, work, kernel } = scene;
  const held = [0, 1].map(() => placer.place(work, [], 'route'));
  const { signal } = new AbortController();
  const holdDeadlineMs = kernel.clock.nowMs() + 5_000;
  const waiting = [0, 1].map(async () => placer.placeOrWait(work, holdDeadlineMs, signal));
  const outcomes = Promise.allSettled(waiting);
  applyVersion(scene, 2, ['fnq']);
  placer.retryQueued();
  evacuate(scene, 'cairns');
  placer.retryQueued();
  await turn();
  held.forEach(({ release }) => release());
  const [first, second] = await outcomes;
  expect(first).toMatchObject({ value: { backEnd: { endpointId: ENGINES.fnq } } });
  expect(second).toMatchObject({ reason: { kind: 'no-endpoint' } });
});

// Guards against a stopped run that is cut right after the order, and against one that goes on there
// beyond the bound.
test('a stopped run continues at an evacuated engine for a short time only', () => {
  const scene = createScene(undefined);
  const target = find(scene, ENGINES.seq2);
  evacuate(scene, 'gympie');
  expect(scene.placer.mayContinueAt(target)).toBe(true);
  scene.kernel.manualClock.advance(BOUNDS.evacuationWithinMs / 2);
  expect(scene.placer.mayContinueAt(target)).toBe(false);
  expect(scene.placer.placeAgain(scene.work, target, 8)).toBeUndefined();
});

/** Gives the engines of one data centre another software version, and the request a stream of one. */
function createVersions(softwareVersion: string | undefined): Scene {
  const scene = createScene(undefined);
  Object.values(ENGINES).forEach((id, index) => {
    const version = id === ENGINES.fnq ? 'v2' : 'v1';
    const position = { era: 1, revision: 200 + index };
    const backEnd = { ...find(scene, id), softwareVersion: version };
    scene.store.applyEndpoint(backEnd, { key: id, text: '', position });
  });
  return { ...scene, work: { ...scene.work, softwareVersion } };
}

// Guards against a way by which a stream goes on at an engine of another software version.
test.each(PATHS)('%s keeps to the software version of the stream', async (_name, path) => {
  for (let repeat = 0; repeat < 20; repeat++) {
    const scene = createVersions('v1');
    const chosen = (await tryPath(scene, path)) as EndpointId;
    expect(find(scene, chosen).softwareVersion).toBe('v1');
  }
});

// Guards against memory that is copied to an engine of another version before the first event.
test('copies before the first event stay at the version of their run', () => {
  for (let repeat = 0; repeat < 20; repeat++) {
    const scene = createVersions(undefined);
    const primary = find(scene, ENGINES.fnq);
    expect(scene.placer.placeBackup(scene.work, primary)).toBeUndefined();
    const move = (): unknown => scene.placer.place(scene.work, [], 'place', 0, primary);
    expect(move()).toMatchObject({ backEnd: { softwareVersion: 'v2' } });
  }
});

// Guards against a stream that waits, or is sent anywhere, when its version has left.
test('a stream whose version has left is refused with the reason', () => {
  const { placer, work } = createVersions('v3');
  expect(() => placer.place(work, [], 'route')).toThrow(
    expect.objectContaining({ kind: 'no-endpoint', detail: expect.stringContaining('v3') }),
  );
});
