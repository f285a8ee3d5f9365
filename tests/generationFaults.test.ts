import type { GenerationKind } from '../src/core';
import type { GenerationOptions } from '../src/plugins/generations/options';
import { Fleet, ServingMetrics } from '../src/services';
import { FaultyEngine, type GenerationPlan } from './FaultyEngine';
import { readEvents, type ReadStream } from './readEvents';
import { ServingFixture, type ServingNode } from './ServingFixture';
import { waitUntil } from './waitUntil';

const WHOLE: Partial<GenerationKind> = { name: 'bin-label', delivery: 'whole', attempts: 2 };
const FINISH: Partial<GenerationKind> = { name: 'kept-report', whenCallerLeaves: 'finish' };
const KINDS = [{}, WHOLE, FINISH];

const QUICK: Partial<GenerationOptions> = {
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

interface Setting {
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
): Promise<Setting> {
  const fixture = await ServingFixture.start({ kinds: KINDS, options: { ...QUICK, ...options } });
  cleanUps.push(async () => fixture.stop());
  const engine = await startEngine(fixture, 'engine-1', [plan]);
  return { fixture, engine, node: await fixture.startNode('entry-1') };
}

interface Asked {
  readonly kind?: string;
  readonly customer?: string;
  readonly body?: object | string;
  readonly signal?: AbortSignal;
}

async function ask(node: ServingNode, asked: Asked = {}): Promise<Response> {
  const { kind = 'audit-summary', customer = 'recup-audits', body = {} } = asked;
  const messages = [{ role: 'user', content: 'Sum up the audit.' }];
  return fetch(`${node.url}/v1/chat/completions`, {
    method: 'POST',
    headers: { authorization: `Bearer key-${customer}`, 'x-kind-of-work': kind },
    body:
      typeof body === 'string'
        ? body
        : JSON.stringify({ model: 'summary-1', stream: true, messages, ...body }),
    signal: asked.signal ?? null,
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
async function leaveAfter(node: ServingNode, events: number, kind?: string): Promise<ReadStream> {
  return readEvents(await ask(node, { kind }), events);
}

// Guards against a stream that a caller takes for complete although a part is missing, and against
// a part that comes twice.
test.each<[string, GenerationPlan, string, string | undefined]>([
  ['relays in order', { tokens: 5 }, getText(0, 5), undefined],
  ['drops a repeat', { tokens: 5, faults: { 2: 'repeat' } }, getText(0, 5), undefined],
  ['stops at a gap', { tokens: 5, faults: { 2: 'skip' } }, getText(0, 2), 'position-gap'],
  ['stops at a lost end', { tokens: 5, faults: { 4: 'skip' } }, getText(0, 4), 'position-gap'],
  ['reconnects', { tokens: 5, faults: { 1: 'break', 3: 'break' } }, getText(0, 5), undefined],
  ['reports a dead engine', { tokens: 5, faults: { 3: 'die' } }, getText(0, 3), 'engine-lost'],
  ['reports a hang', { tokens: 5, faults: { 3: 'hang' } }, getText(0, 3), 'engine-lost'],
])('streamed: %s', async (_name, plan, text, errorKind) => {
  const { node } = await setUp({ tokenDelayMs: 5, ...plan });
  const read = await readEvents(await ask(node));
  expect(read).toMatchObject({ text, isDone: errorKind === undefined, isCut: false });
  expect(read.error?.kind).toBe(errorKind);
  if (errorKind) expect(read.error).toMatchObject({ run: 'run', error: { type: errorKind } });
});

// Guards against a whole answer that mixes two generations, and against one that is given up
// although the contract allows another attempt.
test.each<[string, GenerationPlan]>([
  ['a dead engine', { tokens: 5, faults: { 3: 'die' } }],
  ['a hang', { tokens: 5, faults: { 3: 'hang' } }],
  ['a gap', { tokens: 5, faults: { 3: 'skip' } }],
])('whole: another engine replaces %s', async (_name, plan) => {
  const fixture = await ServingFixture.start({ kinds: KINDS, options: QUICK });
  cleanUps.push(async () => fixture.stop());
  // Whichever engine the router takes first fails, and the other one doesn't.
  const plans = [{ tokenDelayMs: 5, ...plan }, { tokens: 7 }];
  const engines = [
    await startEngine(fixture, 'engine-1', plans),
    await startEngine(fixture, 'engine-2', plans),
  ];
  const node = await fixture.startNode('entry-1');
  const fleet = node.kernel.get(Fleet);
  await waitUntil('both engines listed', () => fleet.listEndpoints().length === 2);
  const read = await readEvents(await ask(node, { kind: 'bin-label' }));
  expect(engines.map(({ generations }) => generations.size)).toEqual([1, 1]);
  expect(read).toMatchObject({ text: getText(0, 7), isDone: true });
  expect(node.decisions.map(({ step }) => step)).toContain('retry');
});

// Guards against an answer that says "not run" after a generation was started.
test('whole: the last failure counts as run', async () => {
  const { node } = await setUp({ tokens: 5, faults: { 3: 'die' } });
  const response = await ask(node, { kind: 'bin-label', body: { stream: false } });
  expect(await response.json()).toMatchObject({ kind: 'engine-lost', run: 'run' });
});

// Guards against faults of the request that reach an engine or are reported as faults of the node.
test.each<[string, Asked, number, string]>([
  ['malformed JSON', { body: '{"model":' }, 400, 'malformed-request'],
  ['a missing prompt', { body: { messages: [] } }, 400, 'malformed-request'],
  ['two choices', { body: { n: 2 } }, 400, 'malformed-request'],
  ['an unknown model', { body: { model: 'other' } }, 404, 'unknown-kind-of-work'],
  ['an unknown kind', { kind: 'other' }, 404, 'unknown-kind-of-work'],
  ['an unknown key', { customer: 'other' }, 401, 'unknown-key'],
])('refuses %s', async (_name, asked, status, kind) => {
  const { engine, node } = await setUp({ tokens: 1 });
  expect(await getProblem(await ask(node, asked))).toEqual([status, kind]);
  expect(engine.generations.size).toBe(0);
});

// Guards against a priority or a length that is not the contract's.
test('bounds the engine request by the contract', async () => {
  const { engine, node } = await setUp({ tokens: 1 });
  await readEvents(
    await ask(node, { body: { max_tokens: 90_000, priority: 0, temperature: 0.5 } }),
  );
  expect(engine.firstGeneration?.body).toMatchObject({
    max_tokens: 40_000,
    priority: 2,
    temperature: 0.5,
  });
});

// Guards against a token that opens another customer's generation or a position that isn't there.
test.each<[string, (token: string) => Promise<[string, string?, string?]>, number, string]>([
  ['wrong customer', async (token) => [token, undefined, 'kelanisetu'], 400, 'invalid-token'],
  ['forged token', async (token) => [`x${token}`], 400, 'invalid-token'],
  ['unsigned text', async () => ['bm8.bm8'], 400, 'invalid-token'],
  ['late position', async (token) => [token, `${token}.99`], 416, 'unknown-position'],
  ['no position', async (token) => [token, `${token}.x`], 416, 'unknown-position'],
  ['other token', async (token) => [token, `${token}x.1`], 400, 'invalid-token'],
])('refuses a resume: %s', async (_name, change, status, kind) => {
  const { node } = await setUp({ tokens: 3 });
  const { token } = await readEvents(await ask(node));
  const [changed, lastEventId, customer] = await change(token);
  expect(await getProblem(await resume(node, changed, lastEventId, { customer }))).toEqual([
    status,
    kind,
  ]);
});

// Guards against a resume that waits for an engine which has forgotten the generation.
test('refuses a generation that the engine has forgotten', async () => {
  const { engine, node } = await setUp({ tokens: 3 });
  const { token } = await readEvents(await ask(node));
  engine.generations.clear();
  expect(await getProblem(await resume(node, token))).toEqual([404, 'unknown-generation']);
  const cancel = await resume(node, token, undefined, { method: 'DELETE' });
  expect(await getProblem(cancel)).toEqual([404, 'unknown-generation']);
});

// Guards against a resume that needs the node which started the generation, and against two resumes
// that take tokens from each other.
test('two resumes on two nodes are both contiguous', async () => {
  const { fixture, node } = await setUp({ tokens: 40, tokenDelayMs: 10 });
  const other = await fixture.startNode('entry-2');
  const left = await leaveAfter(node, 4);
  const [first, second] = await Promise.all([
    resume(other, left.token, left.lastEventId).then(readEvents),
    resume(node, left.token, '1').then(readEvents),
  ]);
  expect(first).toMatchObject({ text: getText(4, 40), isDone: true });
  expect(second).toMatchObject({ text: getText(2, 40), isDone: true });
});

// Guards against an engine that works for nobody, or that stops a report which is to be kept.
test.each<[string, string, GenerationPlan['faults'], boolean, number]>([
  ['cancel', 'audit-summary', {}, true, 1],
  ['finish', 'kept-report', {}, false, 1],
  ['cancel after a break', 'audit-summary', { 6: 'break' }, true, 1],
  ['finish after a break', 'kept-report', { 6: 'break' }, false, 2],
])('caller leaves: %s', async (_name, kind, faults, isCancelled, attachments) => {
  const { engine, fixture, node } = await setUp({ tokens: 60, tokenDelayMs: 10, faults });
  await leaveAfter(node, 3, kind);
  await waitUntil('generation over', () => engine.firstGeneration?.isOver);
  expect(engine.firstGeneration).toMatchObject({ isCancelled, attachments });
  expect(engine.cancelStatuses).toEqual(isCancelled ? [204] : []);
  await waitUntil('answer counted', async () => {
    const { text } = await fixture.readMetrics(node);
    return text.includes('outcome="caller-left"} 1');
  });
});

// Guards against a place within the limits that is free while its generation still runs.
test('an unattended generation keeps its place', async () => {
  const { engine, fixture, node } = await setUp({ tokens: 9, faults: { 4: 'hang' } });
  await leaveAfter(node, 3, 'kept-report');
  await waitUntil('node knows', () => node.decisions.some(({ step }) => step === 'slow'));
  expect((await fixture.readMetrics(node)).text).not.toContain('outcome="caller-left"');
  engine.release();
  await waitUntil('answer counted', async () => {
    const { text } = await fixture.readMetrics(node);
    return text.includes('outcome="caller-left"} 1');
  });
});

// Guards against a late cancel that ends a stream which the caller resumed on another node.
test('a late cancel is refused after a resume', async () => {
  const { engine, fixture, node } = await setUp({ tokens: 60, tokenDelayMs: 10 });
  const other = await fixture.startNode('entry-2');
  const left = await leaveAfter(node, 3);
  const resumed = await readEvents(await resume(other, left.token, left.lastEventId));
  expect(resumed).toMatchObject({ text: getText(3, 60), isDone: true });
  expect(engine.cancelStatuses).toEqual([412]);
});

// Guards against a node that reconnects to the engine after its caller has resumed elsewhere and
// then cancels under the newer attachment.
test('a node that reconnected cannot cancel a resumed stream', async () => {
  const { engine, fixture, node } = await setUp({
    tokens: 80,
    tokenDelayMs: 10,
    faults: { 10: 'break' },
  });
  const other = await fixture.startNode('entry-2');
  const leaving = new AbortController();
  const held = await ask(node, { signal: leaving.signal });
  const token = held.headers.get('x-generation-token') ?? '';
  const resumed = resume(other, token).then(readEvents);
  await waitUntil('node reconnected', () => engine.firstGeneration?.attachments === 3);
  leaving.abort();
  expect(await resumed).toMatchObject({ text: getText(0, 80), isDone: true });
  expect(engine.cancelStatuses).toEqual([412]);
});

// Guards against a node that keeps what a slow caller doesn't take, and against a lost stream: the
// caller is disconnected, never told an end, and resumes where it was.
test('a slow reader is disconnected and resumes', async () => {
  const plan = { tokens: 3_000, tokenBytes: 8_000 };
  const { engine, node } = await setUp(plan, { resumeGraceMs: 60_000, idleTimeoutMs: 60_000 });
  const response = await ask(node);
  const requestId = response.headers.get('x-request-id');
  expect(requestId).toMatch(/^entry-1~/);
  await waitUntil('answer counted', async () => {
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

// Guards against an explicit cancel that any later attachment could block.
test('the caller cancels from another node', async () => {
  const { engine, fixture, node } = await setUp({ tokens: 500, tokenDelayMs: 10 });
  const other = await fixture.startNode('entry-2');
  const running = await ask(node);
  const token = running.headers.get('x-generation-token') ?? '';
  expect((await resume(other, token, undefined, { method: 'DELETE' })).status).toBe(204);
  expect(engine.firstGeneration?.isCancelled).toBe(true);
  await readEvents(running);
});

// Guards against a stall that nobody can explain afterwards.
test('records a stall with its reason', async () => {
  const { engine, node } = await setUp(
    { tokens: 5, faults: { 3: 'hang' } },
    { idleTimeoutMs: 60_000 },
  );
  const reading = ask(node).then(readEvents);
  const stall = await waitUntil('stall', () => node.decisions.find(({ step }) => step === 'slow'));
  engine.release();
  expect((await reading).text).toBe(getText(0, 5));
  expect(stall).toMatchObject({ chosen: 'engine-1', measured: { tokens: 3 } });
  expect(stall.reason).toContain('has not sent the next token');
});

// Guards against a drain that cuts a stream or takes new work.
test('a draining node refuses work and finishes streams', async () => {
  const { fixture, node } = await setUp({ tokens: 30, tokenDelayMs: 10 });
  const other = await fixture.startNode('entry-2');
  const running = await ask(node);
  const { url } = other;
  const fleet = node.kernel.get(Fleet);
  await waitUntil('both nodes listed', () => fleet.listNodes().length === 2);
  const drained = node.kernel.drain();
  const refused = await ask(node);
  expect(refused.headers.get('x-entry-addresses')).toBe(url);
  expect(await getProblem(refused)).toEqual([503, 'draining']);
  expect(await readEvents(running)).toMatchObject({ text: getText(0, 30), isDone: true });
  await drained;
});

// Guards against an engine that can't be reached and costs the request instead of the attempt.
test('an unreachable engine is passed over', async () => {
  const { fixture, engine, node } = await setUp({ tokens: 3 });
  await engine.stop();
  await startEngine(fixture, 'engine-2', [{ tokens: 4 }]);
  const read = await waitUntil('second engine listed', async () => {
    const response = await ask(node);
    return response.status === 200 && readEvents(response);
  });
  expect(read.text).toBe(getText(0, 4));
});
