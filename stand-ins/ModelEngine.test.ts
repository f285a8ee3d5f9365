import OpenAI from 'openai';
import { parseEventStream, type StreamEvent } from '../src/wire/eventStream';
import { waitUntil } from '../tests/waitUntil';
import { getOutputText, ModelEngine, type ModelEngineOptions } from '.';

let engine: ModelEngine;

afterEach(async () => engine.stop());

async function start(options: ModelEngineOptions = {}): Promise<void> {
  engine = await ModelEngine.start({ stepBaseMs: 1, reportLagMs: 0, loadMs: 0, ...options });
}

async function post(id: string, outputTokens: number, fields: object = {}): Promise<Response> {
  return fetch(`${engine.url}/v1/chat/completions`, {
    method: 'POST',
    headers: { 'x-request-id': id },
    body: JSON.stringify({
      model: 'summary-1',
      messages: [{ role: 'user', content: 'Summarise the audit.' }],
      stream: true,
      metadata: { output_tokens: outputTokens },
      ...fields,
    }),
  });
}

async function resume(id: string, position?: number): Promise<Response> {
  const headers: Record<string, string> =
    position === undefined ? {} : { 'last-event-id': String(position) };
  return fetch(`${engine.url}/v1/generations/${id}`, { headers });
}

async function cancel(id: string, attachment: string | null): Promise<number> {
  const headers: Record<string, string> = attachment === null ? {} : { 'if-match': attachment };
  const url = `${engine.url}/v1/generations/${id}`;
  return (await fetch(url, { method: 'DELETE', headers })).status;
}

async function sendOrder(fence: number | ReadonlyArray<number>, model: string): Promise<number> {
  const body = JSON.stringify({ fence, order: { type: 'load-model', model } });
  return (await fetch(`${engine.url}/v1/orders`, { method: 'POST', body })).status;
}

async function getReport(): Promise<{ readonly models: ReadonlyArray<string> }> {
  return (await fetch(`${engine.url}/v1/load`)).json() as Promise<{ models: string[] }>;
}

async function readEvents(response: Response): Promise<ReadonlyArray<StreamEvent>> {
  const events: StreamEvent[] = [];
  for await (const event of parseEventStream(response.body!)) events.push(event);
  return events;
}

function getText(events: ReadonlyArray<StreamEvent>): string {
  return events
    .filter(({ data }) => data !== '[DONE]')
    .map(({ data }) => (JSON.parse(data) as OpenAI.ChatCompletionChunk).choices[0]?.delta.content)
    .join('');
}

// Guards against events without a position, and against a stream without a finish reason or [DONE].
test('streams tokens with their positions', async () => {
  await start();
  const response = await post('g1', 20);
  expect(response.headers.get('etag')).toBe('"1"');
  const events = await readEvents(response);
  const positions = events.slice(0, 20).map(({ id }) => Number(id));
  expect(positions).toEqual(Array.from({ length: 20 }, (_, position) => position));
  expect(getText(events)).toBe(getOutputText('g1', 20));
  expect(JSON.parse(events[18]!.data)).toMatchObject({ choices: [{ finish_reason: null }] });
  expect(JSON.parse(events[19]!.data)).toMatchObject({ choices: [{ finish_reason: 'stop' }] });
  expect(events.slice(20)).toEqual([{ id: '20', data: '[DONE]' }]);
});

// Guards against a resumed stream that repeats, skips or changes tokens.
test.each([undefined, 0, 7, 18, 19])('resumes after position %s', async (position) => {
  await start();
  await (await post('g1', 20)).body?.cancel();
  await waitUntil('the end of the generation', () => engine.generations[0]?.endReason);
  const events = await readEvents(await resume('g1', position));
  const expected = getOutputText('g1', 20);
  const skipped = getOutputText('g1', position === undefined ? 0 : position + 1);
  expect(skipped + getText(events)).toBe(expected);
  expect(events.at(-1)?.data).toBe('[DONE]');
});

test('rejects a position that does not exist yet', async () => {
  await start();
  await readEvents(await post('g1', 3));
  expect((await resume('g1', 3)).status).toBe(416);
  expect((await resume('other')).status).toBe(404);
});

// Guards against a delayed cancel from the previous node that ends a stream resumed by another.
test('rejects a cancel with an old attachment', async () => {
  await start({ stepBaseMs: 5 });
  const first = await post('g1', 40);
  const second = await resume('g1');
  expect(await cancel('g1', first.headers.get('etag'))).toBe(412);
  expect(await cancel('g1', null)).toBe(428);
  expect(getText(await readEvents(second))).toBe(getOutputText('g1', 40));
});

// Guards against a cancelled generation whose stream ends as if it were complete.
test('cancels with the newest attachment', async () => {
  await start({ stepBaseMs: 5 });
  const stream = await post('g1', 5_000);
  expect(await cancel('g1', stream.headers.get('etag'))).toBe(204);
  const events = await readEvents(stream);
  expect(events.at(-1)).toMatchObject({ event: 'error' });
  expect(engine.generations[0]).toMatchObject({ endReason: 'cancelled' });
});

// Guards against a repeated request that starts the same generation twice.
test('rejects a second generation with the same id', async () => {
  await start();
  await readEvents(await post('g1', 3));
  expect((await post('g1', 3)).status).toBe(409);
});

test('evicts a generation after its retention time', async () => {
  await start({ retentionMs: 0 });
  await readEvents(await post('g1', 3));
  expect((await resume('g1')).status).toBe(404);
});

// Guards against a stand-in that can't model engines with and without a check of fencing tokens.
test.each([
  { checksFence: true, status: 409, models: ['summary-1', 'new'] },
  { checksFence: false, status: 202, models: ['summary-1', 'new', 'old'] },
])(
  'handles a stale fence with checksFence $checksFence',
  async ({ checksFence, status, models }) => {
    await start({ checksFence });
    expect(await sendOrder([8, 1], 'new')).toBe(202);
    await waitUntil('the new model', async () => (await getReport()).models.includes('new'));
    expect(await sendOrder([7, 2], 'old')).toBe(status);
    await waitUntil('the models', async () => (await getReport()).models.length === models.length);
    expect((await getReport()).models).toEqual(models);
    expect(engine.orders.map(({ accepted }) => accepted)).toEqual([true, !checksFence]);
  },
);

// Guards against a hang that refuses connections, which a node couldn't tell from a crash.
test('does not respond while hung', async () => {
  await start();
  engine.setHung(true);
  let hasResponded = false;
  const pending = post('g1', 3).then((response) => {
    hasResponded = true;
    return response;
  });
  await fetch(`${engine.url}/control/load`);
  expect(hasResponded).toBe(false);
  engine.setHung(false);
  expect(getText(await readEvents(await pending))).toBe(getOutputText('g1', 3));
});

test('aborts its streams when stopped', async () => {
  await start({ stepBaseMs: 5 });
  const stream = await post('g1', 5_000);
  await engine.stop();
  await expect(readEvents(stream)).rejects.toThrow();
});

test('records requests that arrive while it is leaving', async () => {
  await start();
  engine.setLeaving(true);
  expect(await getReport()).toMatchObject({ leaving: true });
  await readEvents(await post('g1', 1));
  expect(engine.generations).toMatchObject([{ startedWhileLeaving: true }]);
});

// Guards against responses that the OpenAI client library can't parse.
test('serves the OpenAI client library', async () => {
  await start();
  const client = new OpenAI({ baseURL: `${engine.url}/v1`, apiKey: 'unused' });
  const completion = await client.completions.create(
    {
      model: 'summary-1',
      prompt: 'Label',
      max_tokens: 4,
      metadata: { output_tokens: '9' },
    } as never,
    { headers: { 'x-request-id': 'g2' } },
  );
  expect(completion).toMatchObject({
    choices: [{ text: getOutputText('g2', 4), finish_reason: 'length' }],
    usage: { completion_tokens: 4 },
  });
});

test('rejects unknown models, empty requests and oversized prompts', async () => {
  await start({ memoryTotalTokens: 5 });
  expect((await post('g1', 1, { model: 'other' })).status).toBe(404);
  expect((await post('g1', 1, { messages: [] })).status).toBe(400);
  expect((await post('g1', 1)).status).toBe(400);
});
