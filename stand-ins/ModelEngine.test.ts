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

async function order(fence: number | ReadonlyArray<number>, model: string): Promise<number> {
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

// Guards against tokens without position, and against a stream without a proper end.
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

// Guards against a resume that repeats, skips or changes tokens.
test.each([undefined, 0, 7, 18, 19])('resumes after position %s', async (position) => {
  await start();
  await (await post('g1', 20)).body?.cancel();
  await waitUntil('the end', () => engine.generations[0]?.endReason);
  const events = await readEvents(await resume('g1', position));
  const expected = getOutputText('g1', 20);
  const skipped = getOutputText('g1', position === undefined ? 0 : position + 1);
  expect(skipped + getText(events)).toBe(expected);
  expect(events.at(-1)?.data).toBe('[DONE]');
});

test('refuses a position that does not exist yet', async () => {
  await start();
  await readEvents(await post('g1', 3));
  expect((await resume('g1', 3)).status).toBe(416);
  expect((await resume('other')).status).toBe(404);
});

// Guards against a late cancel from an old node that ends a resumed stream.
test('refuses a cancel with an old attachment', async () => {
  await start({ stepBaseMs: 5 });
  const first = await post('g1', 40);
  const second = await resume('g1');
  expect(await cancel('g1', first.headers.get('etag'))).toBe(412);
  expect(await cancel('g1', null)).toBe(428);
  expect(getText(await readEvents(second))).toBe(getOutputText('g1', 40));
});

// Guards against a cancelled generation that looks complete.
test('cancels with the last attachment', async () => {
  await start({ stepBaseMs: 5 });
  const stream = await post('g1', 5_000);
  expect(await cancel('g1', stream.headers.get('etag'))).toBe(204);
  const events = await readEvents(stream);
  expect(events.at(-1)).toMatchObject({ event: 'error' });
  expect(engine.generations[0]).toMatchObject({ endReason: 'cancelled' });
});

// Guards against two runs of one generation after a repeated request.
test('refuses a second generation with the same id', async () => {
  await start();
  await readEvents(await post('g1', 3));
  expect((await post('g1', 3)).status).toBe(409);
});

test('forgets a generation after its retention', async () => {
  await start({ retentionMs: 0 });
  await readEvents(await post('g1', 3));
  expect((await resume('g1')).status).toBe(404);
});

// Guards against an engine that shows a test only one kind of fencing.
test.each([
  { checksFence: true, status: 409, models: ['summary-1', 'new'] },
  { checksFence: false, status: 202, models: ['summary-1', 'new', 'old'] },
])('treats an old fence with checksFence $checksFence', async ({ checksFence, status, models }) => {
  await start({ checksFence });
  expect(await order([8, 1], 'new')).toBe(202);
  await waitUntil('the order', async () => (await getReport()).models.includes('new'));
  expect(await order([7, 2], 'old')).toBe(status);
  await waitUntil('the models', async () => (await getReport()).models.length === models.length);
  expect((await getReport()).models).toEqual(models);
  expect(engine.orders.map(({ accepted }) => accepted)).toEqual([true, !checksFence]);
});

// Guards against a frozen engine that tests could not tell from a dead one.
test('answers nothing while it hangs', async () => {
  await start();
  engine.setHung(true);
  let isAnswered = false;
  const answer = post('g1', 3).then((response) => {
    isAnswered = true;
    return response;
  });
  await fetch(`${engine.url}/control/load`);
  expect(isAnswered).toBe(false);
  engine.setHung(false);
  expect(getText(await readEvents(await answer))).toBe(getOutputText('g1', 3));
});

test('breaks its streams when killed', async () => {
  await start({ stepBaseMs: 5 });
  const stream = await post('g1', 5_000);
  await engine.stop();
  await expect(readEvents(stream)).rejects.toThrow();
});

test('notes work that comes while it leaves', async () => {
  await start();
  engine.setLeaving(true);
  expect(await getReport()).toMatchObject({ leaving: true });
  await readEvents(await post('g1', 1));
  expect(engine.generations).toMatchObject([{ startedWhileLeaving: true }]);
});

// Guards against an answer that an existing client library can't read.
test('serves an existing client library', async () => {
  await start();
  const client = new OpenAI({ baseURL: `${engine.url}/v1`, apiKey: 'unused' });
  const whole = await client.completions.create(
    {
      model: 'summary-1',
      prompt: 'Label',
      max_tokens: 4,
      metadata: { output_tokens: '9' },
    } as never,
    { headers: { 'x-request-id': 'g2' } },
  );
  expect(whole).toMatchObject({
    choices: [{ text: getOutputText('g2', 4), finish_reason: 'length' }],
    usage: { completion_tokens: 4 },
  });
});

test('refuses what it can not run', async () => {
  await start({ memoryTotalTokens: 5 });
  expect((await post('g1', 1, { model: 'other' })).status).toBe(404);
  expect((await post('g1', 1, { messages: [] })).status).toBe(400);
  expect((await post('g1', 1)).status).toBe(400);
});
