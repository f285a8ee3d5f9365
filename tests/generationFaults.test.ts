import type { GenerationKind } from '../src/core';
import type { GenerationOptions } from '../src/plugins/generations/options';
import { Fleet, ServingMetrics } from '../src/services';
import { FaultyEngine, type GenerationPlan } from './FaultyEngine';
import { readEvents, type ReadStream } from './readEvents';
import { ServingFixture, type ServingNode } from './ServingFixture';
import { waitUntil } from './waitUntil';

const WHOLE_DELIVERY: Partial<GenerationKind> = {
  name: 'bin-label',
  delivery: 'whole',
  attempts: 2,
};
const FINISH_UNATTENDED: Partial<GenerationKind> = {
  name: 'kept-report',
  whenCallerLeaves: 'finish',
};
const KINDS = [{}, WHOLE_DELIVERY, FINISH_UNATTENDED];

const SHORT_TIMES: Partial<GenerationOptions> = {
  reconnectDelayMs: 5,
  stallThresholdMs: 40,
  firstTokenThresholdMs: 40,
  idleTimeoutMs: 1_000,
  slowReaderTimeoutMs: 200,
  resumeGraceMs: 100,
};

const cleanUps: Array<() => Promise<void>> = [];

afterEach(async () => {
  for (const cleanUp of cleanUps.splice(0).reverse()) await cleanUp();
});

interface Setup {
  readonly fixture: ServingFixture;
  readonly engine: FaultyEngine;
  readonly node: ServingNode;
}

async function startEngine(fixture: ServingFixture, name: string, plans: GenerationPlan[]) {
  const engine = await FaultyEngine.start(plans);
  cleanUps.push(async () => engine.stop());
  fixture.listVm(name, 'engine', engine.url);
  return engine;
}

async function setUp(
  plan: GenerationPlan,
  options: Partial<GenerationOptions> = {},
): Promise<Setup> {
  const fixture = await ServingFixture.start({
    kinds: KINDS,
    options: { ...SHORT_TIMES, ...options },
  });
  cleanUps.push(async () => fixture.stop());
  const engine = await startEngine(fixture, 'engine-1', [plan]);
  return { fixture, engine, node: await fixture.startNode('entry-1') };
}

interface RequestOptions {
  readonly kind?: string;
  readonly customer?: string;
  readonly body?: object | string;
  readonly signal?: AbortSignal;
}

async function postCompletion(node: ServingNode, options: RequestOptions = {}): Promise<Response> {
  const { kind = 'audit-summary', customer = 'recup-audits', body = {} } = options;
  const messages = [{ role: 'user', content: 'Sum up the audit.' }];
  return fetch(`${node.url}/v1/chat/completions`, {
    method: 'POST',
    headers: { authorization: `Bearer key-${customer}`, 'x-kind-of-work': kind },
    body:
      typeof body === 'string'
        ? body
        : JSON.stringify({ model: 'summary-1', stream: true, messages, ...body }),
    signal: options.signal ?? null,
  });
}

async function resume(
  node: ServingNode,
  token: string,
  lastEventId?: string,
  { customer = 'recup-audits', method = 'GET' } = {},
): Promise<Response> {
  return fetch(`${node.url}/v1/generations/${token}`, {
    method,
    headers: {
      authorization: `Bearer key-${customer}`,
      ...(lastEventId === undefined ? {} : { 'last-event-id': lastEventId }),
    },
  });
}

function getText(from: number, to: number): string {
  return Array.from({ length: to - from }, (_, index) => `t${from + index}`).join(' ');
}

async function getProblem(response: Response): Promise<[number, unknown]> {
  return [response.status, ((await response.json()) as { kind: unknown }).kind];
}

/** Reads a few events and closes the connection. */
async function disconnectAfter(
  node: ServingNode,
  events: number,
  kind?: string,
): Promise<ReadStream> {
  return readEvents(await postCompletion(node, { kind }), events);
}

// Guards against a stream that looks complete to the caller although tokens are missing, and
// against tokens that are delivered twice.
test.each<[string, GenerationPlan, string, string | undefined]>([
  ['relays in order', { tokens: 5 }, getText(0, 5), undefined],
  ['drops a duplicate', { tokens: 5, faults: { 2: 'repeat' } }, getText(0, 5), undefined],
  ['stops at a gap', { tokens: 5, faults: { 2: 'skip' } }, getText(0, 2), 'position-gap'],
  [
    'stops when the last token is missing',
    { tokens: 5, faults: { 4: 'skip' } },
    getText(0, 4),
    'position-gap',
  ],
  ['reconnects', { tokens: 5, faults: { 1: 'break', 3: 'break' } }, getText(0, 5), undefined],
  ['reports a dead engine', { tokens: 5, faults: { 3: 'die' } }, getText(0, 3), 'engine-lost'],
  ['reports a hang', { tokens: 5, faults: { 3: 'hang' } }, getText(0, 3), 'engine-lost'],
])('streamed: %s', async (_name, plan, text, errorKind) => {
  const { node } = await setUp({ tokenDelayMs: 5, ...plan });
  const read = await readEvents(await postCompletion(node));
  expect(read).toMatchObject({ text, isDone: errorKind === undefined, isCut: false });
  expect(read.error?.kind).toBe(errorKind);
  if (errorKind) expect(read.error).toMatchObject({ run: 'run', error: { type: errorKind } });
});

// Guards against a whole response that mixes two generations, and against one that is abandoned
// although the contract allows another attempt.
test.each<[string, GenerationPlan]>([
  ['a dead engine', { tokens: 5, faults: { 3: 'die' } }],
  ['a hang', { tokens: 5, faults: { 3: 'hang' } }],
  ['a gap', { tokens: 5, faults: { 3: 'skip' } }],
])('whole: another engine takes over after %s', async (_name, plan) => {
  const fixture = await ServingFixture.start({ kinds: KINDS, options: SHORT_TIMES });
  cleanUps.push(async () => fixture.stop());
  // Whichever engine the router chooses first fails; the other one does not.
  const plans = [{ tokenDelayMs: 5, ...plan }, { tokens: 7 }];
  const engines = [
    await startEngine(fixture, 'engine-1', plans),
    await startEngine(fixture, 'engine-2', plans),
  ];
  const node = await fixture.startNode('entry-1');
  const fleet = node.kernel.get(Fleet);
  await waitUntil('both engines to be listed', () => fleet.listEndpoints().length === 2);
  const read = await readEvents(await postCompletion(node, { kind: 'bin-label' }));
  expect(engines.map(({ generations }) => generations.size)).toEqual([1, 1]);
  expect(read).toMatchObject({ text: getText(0, 7), isDone: true });
  expect(node.decisions.map(({ step }) => step)).toContain('retry');
});

// Guards against an error that reports "not run" after a generation was started.
test('whole: the last failure is reported as run', async () => {
  const { node } = await setUp({ tokens: 5, faults: { 3: 'die' } });
  const response = await postCompletion(node, { kind: 'bin-label', body: { stream: false } });
  expect(await response.json()).toMatchObject({ kind: 'engine-lost', run: 'run' });
});

// Guards against invalid requests that reach an engine or are reported as errors of the node.
test.each<[string, RequestOptions, number, string]>([
  ['malformed JSON', { body: '{"model":' }, 400, 'malformed-request'],
  ['a missing prompt', { body: { messages: [] } }, 400, 'malformed-request'],
  ['two choices', { body: { n: 2 } }, 400, 'malformed-request'],
  ['an unknown model', { body: { model: 'other' } }, 404, 'unknown-kind-of-work'],
  ['an unknown kind', { kind: 'other' }, 404, 'unknown-kind-of-work'],
  ['an unknown key', { customer: 'other' }, 401, 'unknown-key'],
])('refuses %s', async (_name, options, status, kind) => {
  const { engine, node } = await setUp({ tokens: 1 });
  expect(await getProblem(await postCompletion(node, options))).toEqual([status, kind]);
  expect(engine.generations.size).toBe(0);
});

// Guards against a priority or a length that the contract does not allow.
test('limits the engine request to the contract', async () => {
  const { engine, node } = await setUp({ tokens: 1 });
  await readEvents(
    await postCompletion(node, { body: { max_tokens: 90_000, priority: 0, temperature: 0.5 } }),
  );
  expect(engine.firstGeneration?.body).toMatchObject({
    max_tokens: 40_000,
    priority: 2,
    temperature: 0.5,
  });
});

// Guards against a token that gives access to another customer's generation or to a position that
// does not exist.
test.each<[string, (token: string) => Promise<[string, string?, string?]>, number, string]>([
  ['wrong customer', async (token) => [token, undefined, 'kelanisetu'], 400, 'invalid-token'],
  ['forged token', async (token) => [`x${token}`], 400, 'invalid-token'],
  ['unsigned text', async () => ['bm8.bm8'], 400, 'invalid-token'],
  ['position past the end', async (token) => [token, `${token}.99`], 416, 'unknown-position'],
  ['malformed position', async (token) => [token, `${token}.x`], 416, 'unknown-position'],
  ['mismatched token', async (token) => [token, `${token}x.1`], 400, 'invalid-token'],
])('refuses a resume: %s', async (_name, change, status, kind) => {
  const { node } = await setUp({ tokens: 3 });
  const { token } = await readEvents(await postCompletion(node));
  const [changed, lastEventId, customer] = await change(token);
  expect(await getProblem(await resume(node, changed, lastEventId, { customer }))).toEqual([
    status,
    kind,
  ]);
});

// Guards against a resume that waits for an engine which no longer has the generation.
test('refuses a generation that the engine no longer has', async () => {
  const { engine, node } = await setUp({ tokens: 3 });
  const { token } = await readEvents(await postCompletion(node));
  engine.generations.clear();
  expect(await getProblem(await resume(node, token))).toEqual([404, 'unknown-generation']);
  const cancel = await resume(node, token, undefined, { method: 'DELETE' });
  expect(await getProblem(cancel)).toEqual([404, 'unknown-generation']);
});

// Guards against a resume that works only on the node which started the generation, and against
// concurrent resumes that take tokens from each other.
test('two resumes on two nodes are both contiguous', async () => {
  const { fixture, node } = await setUp({ tokens: 40, tokenDelayMs: 10 });
  const other = await fixture.startNode('entry-2');
  const partial = await disconnectAfter(node, 4);
  const [first, second] = await Promise.all([
    resume(other, partial.token, partial.lastEventId).then(readEvents),
    resume(node, partial.token, '1').then(readEvents),
  ]);
  expect(first).toMatchObject({ text: getText(4, 40), isDone: true });
  expect(second).toMatchObject({ text: getText(2, 40), isDone: true });
});

// Guards against an engine that generates on without a caller, and against a cancelled generation
// which the contract says to finish.
test.each<[string, string, GenerationPlan['faults'], boolean, number]>([
  ['cancel', 'audit-summary', {}, true, 1],
  ['finish', 'kept-report', {}, false, 1],
  ['cancel after a break', 'audit-summary', { 6: 'break' }, true, 1],
  ['finish after a break', 'kept-report', { 6: 'break' }, false, 2],
])('caller disconnects: %s', async (_name, kind, faults, isCancelled, attachments) => {
  const { engine, fixture, node } = await setUp({ tokens: 60, tokenDelayMs: 10, faults });
  await disconnectAfter(node, 3, kind);
  await waitUntil('the end of the generation', () => engine.firstGeneration?.isOver);
  expect(engine.firstGeneration).toMatchObject({ isCancelled, attachments });
  expect(engine.cancelStatuses).toEqual(isCancelled ? [204] : []);
  await waitUntil('the outcome in the metrics', async () => {
    const { text } = await fixture.readMetrics(node);
    return text.includes('outcome="caller-left"} 1');
  });
});

// Guards against a limit slot that is released while its generation still runs.
test('an unattended generation keeps its slot', async () => {
  const { engine, fixture, node } = await setUp({ tokens: 9, faults: { 4: 'hang' } });
  await disconnectAfter(node, 3, 'kept-report');
  await waitUntil('the stall to be recorded', () =>
    node.decisions.some(({ step }) => step === 'slow'),
  );
  expect((await fixture.readMetrics(node)).text).not.toContain('outcome="caller-left"');
  engine.release();
  await waitUntil('the outcome in the metrics', async () => {
    const { text } = await fixture.readMetrics(node);
    return text.includes('outcome="caller-left"} 1');
  });
});

// Guards against a late cancel that ends a stream which the caller has resumed on another node.
test('a late cancel is refused after a resume', async () => {
  const { engine, fixture, node } = await setUp({ tokens: 60, tokenDelayMs: 10 });
  const other = await fixture.startNode('entry-2');
  const partial = await disconnectAfter(node, 3);
  const resumed = await readEvents(await resume(other, partial.token, partial.lastEventId));
  expect(resumed).toMatchObject({ text: getText(3, 60), isDone: true });
  expect(engine.cancelStatuses).toEqual([412]);
});

// Guards against a node that reconnects to the engine after its caller has resumed on another node,
// and then cancels the generation because its own attachment is the newest.
test('a node that reconnected cannot cancel a resumed stream', async () => {
  const { engine, fixture, node } = await setUp({
    tokens: 80,
    tokenDelayMs: 10,
    faults: { 10: 'break' },
  });
  const other = await fixture.startNode('entry-2');
  const caller = new AbortController();
  const running = await postCompletion(node, { signal: caller.signal });
  const token = running.headers.get('x-generation-token') ?? '';
  const resumed = resume(other, token).then(readEvents);
  await waitUntil('the reconnection', () => engine.firstGeneration?.attachments === 3);
  caller.abort();
  expect(await resumed).toMatchObject({ text: getText(0, 80), isDone: true });
  expect(engine.cancelStatuses).toEqual([412]);
});

// Guards against a node that buffers without limit for a slow caller, and against lost tokens: the
// caller is disconnected without an end event and resumes after its last event.
test('a slow reader is disconnected and resumes', async () => {
  const plan = { tokens: 3_000, tokenBytes: 8_000 };
  const { engine, node } = await setUp(plan, { resumeGraceMs: 60_000, idleTimeoutMs: 60_000 });
  const response = await postCompletion(node);
  const requestId = response.headers.get('x-request-id');
  expect(requestId).toMatch(/^entry-1~/);
  await waitUntil('the outcome in the metrics', async () => {
    const { text } = await node.kernel.get(ServingMetrics).render();
    return text.includes('outcome="slow-reader"');
  });
  const read = await readEvents(response);
  expect(read).toMatchObject({ isDone: false, isCut: true });
  const rest = await readEvents(await resume(node, read.token, read.lastEventId));
  expect(rest.isDone).toBe(true);
  expect(read.events.length + rest.events.length).toBe(3_001);
  expect(engine.firstGeneration?.isCancelled).toBe(false);
});

// Guards against an explicit cancel that a later attachment could block.
test('the caller cancels from another node', async () => {
  const { engine, fixture, node } = await setUp({ tokens: 500, tokenDelayMs: 10 });
  const other = await fixture.startNode('entry-2');
  const running = await postCompletion(node);
  const token = running.headers.get('x-generation-token') ?? '';
  expect((await resume(other, token, undefined, { method: 'DELETE' })).status).toBe(204);
  expect(engine.firstGeneration?.isCancelled).toBe(true);
  await readEvents(running);
});

// Guards against a stall that cannot be explained afterwards.
test('records a stall with its reason', async () => {
  const { engine, node } = await setUp(
    { tokens: 5, faults: { 3: 'hang' } },
    { idleTimeoutMs: 60_000 },
  );
  const reading = postCompletion(node).then(readEvents);
  const stall = await waitUntil('the stall', () =>
    node.decisions.find(({ step }) => step === 'slow'),
  );
  engine.release();
  expect((await reading).text).toBe(getText(0, 5));
  expect(stall).toMatchObject({ chosen: 'engine-1', measured: { tokens: 3 } });
  expect(stall.reason).toContain('has not sent the next token');
});

// Guards against a drain that cuts a stream or accepts new work.
test('a draining node refuses work and finishes streams', async () => {
  const { fixture, node } = await setUp({ tokens: 30, tokenDelayMs: 10 });
  const other = await fixture.startNode('entry-2');
  const running = await postCompletion(node);
  const { url } = other;
  const fleet = node.kernel.get(Fleet);
  await waitUntil('both nodes to be listed', () => fleet.listNodes().length === 2);
  const drained = node.kernel.drain();
  const refused = await postCompletion(node);
  expect(refused.headers.get('x-entry-addresses')).toBe(url);
  expect(await getProblem(refused)).toEqual([503, 'draining']);
  expect(await readEvents(running)).toMatchObject({ text: getText(0, 30), isDone: true });
  await drained;
});

// Guards against an unreachable engine that fails the request instead of one attempt.
test('an unreachable engine is skipped', async () => {
  const { fixture, engine, node } = await setUp({ tokens: 3 });
  await engine.stop();
  await startEngine(fixture, 'engine-2', [{ tokens: 4 }]);
  const read = await waitUntil('the second engine to be listed', async () => {
    const response = await postCompletion(node);
    return response.status === 200 && readEvents(response);
  });
  expect(read.text).toBe(getText(0, 4));
});
