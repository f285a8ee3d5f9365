import OpenAI, { APIError, BadRequestError } from 'openai';
import { ModelEngine } from '../stand-ins';
import { getOutputText } from '../stand-ins/engine';
import { ServingFixture, type ServingNode } from './ServingFixture';

const OUTPUT_TOKENS = 30;
const MESSAGES = [{ role: 'user', content: 'Sum up the audit.' } as const];

let fixture: ServingFixture;
let engine: ModelEngine;
let node: ServingNode;
let client: OpenAI;

beforeEach(async () => {
  fixture = await ServingFixture.start({
    kinds: [
      { maxOutputTokens: OUTPUT_TOKENS },
      { name: 'bin-label', model: 'label-1', delivery: 'whole', maxOutputTokens: OUTPUT_TOKENS },
      { name: 'long-report', model: 'report-1' },
    ],
    options: { reconnectDelayMs: 5 },
  });
  const models = ['summary-1', 'label-1', 'report-1'];
  engine = await ModelEngine.start({ stepBaseMs: 1, medianOutputTokens: 10_000, models });
  fixture.listVm('engine-1', 'engine', engine.url, models);
  node = await fixture.startNode('entry-1');
  client = new OpenAI({ baseURL: `${node.url}/v1`, apiKey: 'key-recup-audits', maxRetries: 0 });
});

afterEach(async () => {
  await fixture.stop();
  await engine.stop();
});

function getExpectedText(): string {
  return getOutputText(engine.generations[0]!.generationId, OUTPUT_TOKENS);
}

// Guards against a response that an existing client library misinterprets.
test.each([
  ['streamed delivery', 'summary-1'],
  ['whole delivery', 'label-1'],
])('chat: %s as a stream', async (_name, model) => {
  const stream = await client.chat.completions.create({ model, messages: MESSAGES, stream: true });
  const texts: Array<string | null | undefined> = [];
  const reasons: Array<string | null | undefined> = [];
  for await (const { choices } of stream) {
    texts.push(choices[0]?.delta.content);
    reasons.push(choices[0]?.finish_reason);
  }
  expect(texts.join('')).toBe(getExpectedText());
  expect(texts).toHaveLength(OUTPUT_TOKENS);
  expect(reasons.filter(Boolean)).toEqual(['length']);
});

test.each([
  ['streamed delivery', 'summary-1'],
  ['whole delivery', 'label-1'],
])('chat: %s as one document', async (_name, model) => {
  const completion = await client.chat.completions.create({ model, messages: MESSAGES });
  expect(completion).toMatchObject({
    object: 'chat.completion',
    model,
    choices: [
      {
        index: 0,
        message: { role: 'assistant', content: getExpectedText() },
        finish_reason: 'length',
      },
    ],
  });
  expect(completion.choices[0]).not.toHaveProperty('delta');
});

test.each([true, false])('text completion with stream %s', async (stream) => {
  const request = { model: 'summary-1', prompt: 'Sum up the audit.' };
  let text = '';
  if (stream) {
    const chunks = await client.completions.create({ ...request, stream });
    for await (const { choices } of chunks) text += choices[0]!.text;
  } else text = (await client.completions.create(request)).choices[0]!.text;
  expect(text).toBe(getExpectedText());
});

// Guards against a broken stream that looks complete to the client library.
test('the client receives an error when the engine fails', async () => {
  const stream = await client.chat.completions.create({
    model: 'report-1',
    messages: MESSAGES,
    stream: true,
  });
  let count = 0;
  const reading = (async () => {
    for await (const chunk of stream) {
      count += chunk.choices.length;
      if (count === 5) void engine.stop();
    }
  })();
  await expect(reading).rejects.toMatchObject({ code: 'engine-lost', type: 'engine-lost' });
  await expect(reading).rejects.toBeInstanceOf(APIError);
  expect(count).toBeGreaterThanOrEqual(5);
});

// Guards against an invalid request that is reported as an error of the service.
test('the client receives a refusal', async () => {
  const refused = client.chat.completions.create({ model: 'summary-1', messages: [] });
  await expect(refused).rejects.toBeInstanceOf(BadRequestError);
});

// Guards against responses that are swapped between concurrent requests.
test('concurrent responses are not swapped', async () => {
  const completions = await Promise.all(
    Array.from({ length: 24 }, async (_, index) =>
      client.chat.completions.create({
        model: index % 2 ? 'summary-1' : 'label-1',
        messages: MESSAGES,
        max_tokens: 5 + index,
      }),
    ),
  );
  completions.forEach(({ id, model, choices }, index) => {
    expect(model).toBe(index % 2 ? 'summary-1' : 'label-1');
    expect(choices[0]!.message.content).toBe(getOutputText(id, 5 + index));
  });
});

// Guards against requests that the metrics do not count.
test('the metrics count a response', async () => {
  await client.chat.completions.create({ model: 'summary-1', messages: MESSAGES });
  const { text } = await fixture.readMetrics(node);
  const series = 'customer="recup-audits",kind_of_work="audit-summary"';
  expect(text).toContain(`bramleyvane_answers_total{${series},outcome="complete"} 1`);
  expect(text).toContain(`bramleyvane_first_token_seconds_count{${series}} 1`);
  expect(text).toContain(`bramleyvane_token_gap_seconds_count{${series}} ${OUTPUT_TOKENS - 1}`);
  expect(text).toContain(`bramleyvane_stall_seconds_count{${series}} 1`);
  expect(text).toContain(`bramleyvane_wait_seconds_count{${series}} 1`);
});
