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
  fixture.listVm('engine-1', 'engine', engine.url, { models });
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

// Guards against an answer that an existing client library reads differently from what was meant.
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
  const answer = await client.chat.completions.create({ model, messages: MESSAGES });
  expect(answer).toMatchObject({
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
  expect(answer.choices[0]).not.toHaveProperty('delta');
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

// Guards against a broken stream that the client library takes for a complete one.
test('the client sees the death of an engine', async () => {
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

// Guards against a caller who can't tell its own fault from one of the service.
test('the client sees a refusal', async () => {
  const asking = client.chat.completions.create({ model: 'summary-1', messages: [] });
  await expect(asking).rejects.toBeInstanceOf(BadRequestError);
});

// Guards against answers that are swapped between requests which run at the same time.
test('answers at one time are not crossed', async () => {
  const answers = await Promise.all(
    Array.from({ length: 24 }, async (_, index) =>
      client.chat.completions.create({
        model: index % 2 ? 'summary-1' : 'label-1',
        messages: MESSAGES,
        max_tokens: 5 + index,
      }),
    ),
  );
  answers.forEach(({ id, model, choices }, index) => {
    expect(model).toBe(index % 2 ? 'summary-1' : 'label-1');
    expect(choices[0]!.message.content).toBe(getOutputText(id, 5 + index));
  });
});

// Guards against requests that leave no trace in the metrics.
test('the metrics show the answers', async () => {
  await client.chat.completions.create({ model: 'summary-1', messages: MESSAGES });
  const { text } = await fixture.readMetrics(node);
  const series = 'customer="recup-audits",kind_of_work="audit-summary"';
  expect(text).toContain(`bramleyvane_answers_total{${series},outcome="complete"} 1`);
  expect(text).toContain(`bramleyvane_first_token_seconds_count{${series}} 1`);
  expect(text).toContain(`bramleyvane_token_gap_seconds_count{${series}} ${OUTPUT_TOKENS - 1}`);
  expect(text).toContain(`bramleyvane_stall_seconds_count{${series}} 1`);
  expect(text).toContain(`bramleyvane_wait_seconds_count{${series}} 1`);
});
