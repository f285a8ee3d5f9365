import {
  callFront,
  createServicesWithBackups,
  createStoreConfiguration,
  FrontFixture,
  GENERATION_HEADERS,
  type FrontNode,
  type FrontRequest,
  type FrontResponse,
} from './FrontFixture';

/** Of each service. */
const ENGINES = 8;

/** Engines that one request may crash before it is refused everywhere. */
const MAX_CRASHES = 3;

/** Crashes that a fleet without any memory needs to find the request once more. */
const MAX_CRASHES_AFTER_RESTART = 2;

/** Crashes that are closer together could have one cause, such as a rack. */
const PAUSE_MS = 550;

const ROUNDS = 4;

const DEADLY_WORD = 'deadly';

const LONG_BODY_BYTES = 90_000;

const PARTS_HEADER = 'x-bramleyvane-prompt-prefix';

interface RepeatedRequest {
  readonly target: string;
  readonly request: FrontRequest;
}

const GENERATION = { method: 'POST', headers: GENERATION_HEADERS } as const;

/** The same path, caller and body each time; sound requests have the other parts of its prompt. */
const CASES: ReadonlyArray<readonly [string, RepeatedRequest]> = [
  ['a stream', { target: '/report/a', request: { ...GENERATION, body: DEADLY_WORD } }],
  ['a resumable stream', { target: '/label/a', request: { ...GENERATION, body: DEADLY_WORD } }],
  [
    'a stream with a long body',
    {
      target: '/report/a',
      request: { ...GENERATION, body: DEADLY_WORD.padEnd(LONG_BODY_BYTES, '.') },
    },
  ],
  [
    'a call that may be repeated',
    { target: '/lookup/a', request: { method: 'POST', body: DEADLY_WORD } },
  ],
  ['a call without a body', { target: `/lookup/${DEADLY_WORD}`, request: { method: 'GET' } }],
  [
    'a call that may not be repeated',
    { target: '/credit/a', request: { method: 'POST', body: DEADLY_WORD } },
  ],
];

let fixture: FrontFixture;

beforeEach(async () => {
  fixture = await FrontFixture.start();
});

afterEach(async () => {
  await fixture.stop();
});

async function addEngine(service: string, index: number): Promise<void> {
  const instanceId = `i-${service}-${index}`;
  const engine = await fixture.addEngine(service, {
    instanceId,
    events: service === 'writers' ? 3 : undefined,
    isDeadly: ({ target, body }) => target.includes(DEADLY_WORD) || body.includes(DEADLY_WORD),
  });
  engine.onCrash = () => fixture.store.remove(`servers/${instanceId}`);
}

async function startEngines(): Promise<void> {
  const services = createServicesWithBackups();
  fixture.store.put('op/config', createStoreConfiguration({ services }));
  for (let index = 0; index < ENGINES; index++) {
    await addEngine('desk', index);
    await addEngine('writers', index);
  }
}

const countCrashes = (): number =>
  fixture.engines.filter(({ deadlyRequestIds }) => deadlyRequestIds.length > 0).length;

async function startNodes(): Promise<void> {
  const known = 2 * ENGINES - countCrashes();
  await fixture.addReadyNode(known);
  await fixture.addReadyNode(known);
  await fixture.waitForMembers();
}

async function stopNodes(): Promise<void> {
  const stopped = fixture.nodes.splice(0);
  await Promise.all(stopped.map(async ({ kernel }) => kernel.dispose()));
}

async function start(): Promise<void> {
  await startEngines();
  await startNodes();
}

const getNode = (index: number): FrontNode => fixture.nodes[index % fixture.nodes.length]!;

const pause = async (): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, PAUSE_MS);
  });

/** Sends a request; undefined when a crash cuts the answer. */
async function call(
  node: FrontNode,
  { target, request }: RepeatedRequest,
): Promise<FrontResponse | undefined> {
  return callFront(node, target, request).catch(() => undefined);
}

/** Returns a sound request with the same path and the same parts of the prompt. */
function createSound({ target, request }: RepeatedRequest, word: string): RepeatedRequest {
  const isCalled = request.body === undefined;
  return {
    target: isCalled ? target.replace(DEADLY_WORD, word) : target,
    request: isCalled ? request : { ...request, body: request.body.replace(DEADLY_WORD, word) },
  };
}

/** Parts of the prompt that other requests share; the last one is always the request's own. */
function withParts({ target, request }: RepeatedRequest, own: string): RepeatedRequest {
  if (request.headers?.[PARTS_HEADER] === undefined) return { target, request };
  const headers = { ...request.headers, [PARTS_HEADER]: `a0:40,b0:30,${own}:300` };
  return { target, request: { ...request, headers } };
}

/** Sends the deadly request again and again at all nodes, with sound ones between. */
async function repeat(deadly: RepeatedRequest): Promise<FrontResponse | undefined> {
  let last: FrontResponse | undefined;
  for (let round = 0; round < ROUNDS; round++) {
    last = await call(getNode(round), withParts(deadly, 'own'));
    const sound = withParts(createSound(deadly, `sound-${round}`), `own${round}`);
    await call(getNode(round + 1), sound);
    await pause();
  }
  return last;
}

// Guards against a request that crashes engine after engine because nothing knows it again when it
// comes once more, with the same path, caller and body, at any node.
test.each(CASES)('%s that crashes engines is refused', async (_name, deadly) => {
  await start();
  const last = await repeat(deadly);
  expect(countCrashes()).toBeLessThanOrEqual(MAX_CRASHES);
  expect(last?.status).toBe(503);
  expect(Number(last?.headers['retry-after'])).toBeGreaterThan(0);
  expect(JSON.parse(last?.text ?? '{}')).toMatchObject({
    error: { kind: 'request-quarantined', run: 'not-run' },
  });
});

// Guards against a quarantine that takes sound requests along: those with all the same parts of the
// prompt, the same path and the same caller.
test.each(CASES)('sound requests beside %s are served', async (_name, deadly) => {
  await start();
  await repeat(deadly);
  for (const word of ['sound-7', 'sound-8', 'sound-9']) {
    const sound = withParts(createSound(deadly, word), 'own7');
    expect((await call(getNode(0), sound))?.status).toBe(200);
  }
});

// Guards against one attempt of a caller that crashes each endpoint to which it is retried.
test.each(CASES)('one attempt of %s crashes two engines at most', async (_name, deadly) => {
  await start();
  await call(getNode(0), withParts(deadly, 'own'));
  expect(countCrashes()).toBeLessThanOrEqual(2);
});

// Guards against a fleet that has lost its memory and crashes engines without end again.
test.each(CASES)('%s is found again after all nodes restart', async (_name, deadly) => {
  await start();
  await repeat(deadly);
  const before = countCrashes();
  await stopNodes();
  await startNodes();
  const last = await repeat(deadly);
  expect(countCrashes() - before).toBeLessThanOrEqual(MAX_CRASHES_AFTER_RESTART);
  expect(last?.status).toBe(503);
});

// Guards against a new process that sends the request on before the others have told it.
test.each(CASES)('a new node refuses %s', async (_name, deadly) => {
  await start();
  await repeat(deadly);
  const before = countCrashes();
  const node = await fixture.addReadyNode(2 * ENGINES - before);
  await fixture.waitForMembers();
  expect((await call(node, withParts(deadly, 'own')))?.status).toBe(503);
  expect(countCrashes()).toBe(before);
});

// Guards against a request that comes at several nodes at the same moment: the crashes under it are as
// close together as those that one cause, such as a rack, takes along.
test.each(CASES)('%s that comes at once everywhere is refused', async (_name, deadly) => {
  await start();
  const callAll = async (): Promise<ReadonlyArray<FrontResponse | undefined>> =>
    Promise.all([0, 1, 0, 1].map(async (index) => call(getNode(index), withParts(deadly, 'own'))));
  await callAll();
  await pause();
  if (countCrashes() < MAX_CRASHES) await callAll();
  await pause();
  const before = countCrashes();
  const last = await callAll();
  expect(last.map((answer) => answer?.status)).toEqual([503, 503, 503, 503]);
  expect(countCrashes()).toBe(before);
});
