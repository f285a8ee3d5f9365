import { readFileSync } from 'node:fs';
import path from 'node:path';
import { describeLogLine, type LogLine } from '../src/decisions';

const page = readFileSync(path.join(__dirname, '../docs/OPERATIONS.md'), 'utf8');

const examples = [...page.matchAll(/```jsonl\n([\s\S]*?)\n```\n+```text\n([\s\S]*?)\n```/g)].map(
  ([, lines = '', text = '']) => ({
    lines: lines.split('\n').map((line) => JSON.parse(line) as LogLine),
    text,
  }),
);

// Guards against examples on the operations page that differ from the program's output.
test('the page explains three requests by their id', () => {
  expect(examples).toHaveLength(3);
});

test.each(examples)('example %# matches the program output', ({ lines, text }) => {
  const requestId = String(lines[0]?.requestId);
  const sentences = lines.map((line) => describeLogLine(line, requestId));
  expect(sentences.join('\n')).toBe(text);
});

test('omits lines about other requests and other events', () => {
  expect(describeLogLine({ event: 'request', requestId: 'a' }, 'b')).toBeUndefined();
  expect(describeLogLine({ event: 'member', requestId: 'a' }, 'a')).toBeUndefined();
});
