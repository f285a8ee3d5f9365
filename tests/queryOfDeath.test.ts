import {
  callFront,
  createServicesWithBackups,
  createStoreConfiguration,
  FrontFixture,
  GENERATION_HEADERS,
  type FrontNode,
  type FrontResponse,
} from './FrontFixture';

const ENGINES = 8;
const DEADLY_PART = 'dead';

/** The system may need some crashes to tell the part from those that sound requests share. */
const MAX_CRASHES = 4;

/** Crashes that are closer together could have one cause, such as a rack. */
const PAUSE_MS = 700;

let fixture: FrontFixture;

beforeEach(async () => {
  fixture = await FrontFixture.start();
});

afterEach(async () => {
  await fixture.stop();
});

async function addEngine(index: number, changes: object): Promise<void> {
  const instanceId = `i-writer-${index}`;
  const options = { instanceId, events: 3, deadlyPart: DEADLY_PART, ...changes };
  const engine = await fixture.addEngine('writers', options);
  engine.onCrash = () => fixture.store.remove(`servers/${instanceId}`);
}

async function startFleet(engineOptions = {}): Promise<ReadonlyArray<FrontNode>> {
  const services = createServicesWithBackups();
  fixture.store.put('op/config', createStoreConfiguration({ services }));
  for (let index = 0; index < ENGINES; index++) await addEngine(index, engineOptions);
  const nodes = [await fixture.addReadyNode(ENGINES), await fixture.addReadyNode(ENGINES)];
  await fixture.waitForMembers();
  return nodes;
}

async function callWithParts(
  node: FrontNode,
  target: string,
  parts: string,
): Promise<Pick<FrontResponse, 'status' | 'headers' | 'text'> | undefined> {
  const headers = { ...GENERATION_HEADERS, 'x-bramleyvane-prompt-prefix': parts };
  // No two of these requests are alike; a crash cuts the answer.
  return callFront(node, target, { method: 'POST', headers, body: parts }).catch(() => undefined);
}

const countCrashes = (): number =>
  fixture.engines.filter(({ deadlyRequestIds }) => deadlyRequestIds.length > 0).length;

const pause = async (): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, PAUSE_MS);
  });

// Guards against requests of one kind that crash engines one after the other: whatever else is in
// the prompt, whichever node they come to, and while sound requests share their first parts.
test.each([
  ['/report/a', ['/report/a']],
  ['/label/a', ['/label/a']],
  ['two routes', ['/report/a', '/label/a']],
])('a part that crashes engines at %s is refused', async (_name, targets) => {
  const nodes = await startFleet();
  const [first, second] = nodes as readonly [FrontNode, FrontNode];
  let last: Awaited<ReturnType<typeof callWithParts>>;
  for (let round = 0; round < 7; round++) {
    const node = round % 2 === 0 ? first : second;
    const target = targets[round % targets.length] ?? '';
    const parts = `a${round % 2}:40,${DEADLY_PART}:30,own${round}:300`;
    last = await callWithParts(node, target, parts);
    if (countCrashes() === ENGINES) break;
    await callWithParts(second, target, `a${round % 2}:40,b${round}:30,sound${round}:300`);
    await pause();
  }
  expect(countCrashes()).toBeLessThanOrEqual(MAX_CRASHES);
  expect(last?.status).toBe(503);
  expect(last?.headers['retry-after']).toBeDefined();
  expect(JSON.parse(last?.text ?? '{}')).toMatchObject({
    error: { kind: 'prompt-quarantined', run: 'not-run' },
  });
  for (const target of targets) {
    const sound = await callWithParts(first, target, 'a0:40,b7:30,sound:300');
    expect(sound?.status).toBe(200);
  }
});

// Guards against one request that crashes engine after engine because its run is continued from
// copies of its KV cache.
test('a run that crashes engines is not continued from engine to engine', async () => {
  const [node] = (await startFleet()) as readonly [FrontNode, FrontNode];
  await callWithParts(node, '/report/a', `a0:40,${DEADLY_PART}:30,own:300`);
  expect(countCrashes()).toBeLessThanOrEqual(2);
});

// Guards against a call that crashes every endpoint of a plain service in turn.
test.each([
  ['/lookup/a', 2],
  ['/credit/a', 1],
])('a call that crashes services at %s is sent to %i at most', async (target, maxCrashes) => {
  fixture.store.put('op/config', createStoreConfiguration());
  for (let index = 0; index < 4; index++) {
    const engine = await fixture.addEngine('desk', { instanceId: `i-desk-${index}` });
    engine.behaviour = 'crash';
  }
  const node = await fixture.addReadyNode(4);
  const response = await callFront(node, target);
  expect(response.status).toBe(502);
  const crashed = fixture.engines.filter(({ receivedRequests }) => receivedRequests.length > 0);
  expect(crashed).toHaveLength(maxCrashes);
});

// Guards against a head that takes a node down or fills its memory.
test.each([
  ['no parts', ''],
  ['commas only', ','.repeat(4_000)],
  ['many parts', Array.from({ length: 1_500 }, (_, index) => `p${index}:1`).join(',')],
  ['a long part', `${'x'.repeat(8_000)}:1,own:1`],
  ['no numbers', 'a:b:c,:::,%zz,own'],
])('a prompt header with %s is served', async (_name, parts) => {
  const [node] = (await startFleet()) as readonly [FrontNode, FrontNode];
  expect((await callWithParts(node, '/report/a', parts))?.status).toBe(200);
});

// Guards against a prompt that every engine in turn has to refuse, as none can hold it.
test('a prompt larger than the memory of an engine is refused at once', async () => {
  const [node] = (await startFleet()) as readonly [FrontNode, FrontNode];
  const headers = { ...GENERATION_HEADERS, 'x-bramleyvane-token-usage': '30001,80' };
  const response = await callFront(node, '/label/a', { method: 'POST', headers });
  expect(response.status).toBe(413);
  expect(fixture.engines.flatMap(({ receivedRequests }) => receivedRequests)).toEqual([]);
});
