import { readFileSync } from 'node:fs';
import path from 'node:path';
import { describeLogLine, type LogLine } from '../src/decisions';

const page = readFileSync(path.join(__dirname, '../docs/OPERATIONS.md'), 'utf8');

const walks = [...page.matchAll(/```jsonl\n([\s\S]*?)\n```\n+```text\n([\s\S]*?)\n```/g)].map(
  ([, lines = '', text = '']) => ({
    lines: lines.split('\n').map((line) => JSON.parse(line) as LogLine),
    text,
  }),
);

// Guards against a page that shows what the program doesn't say.
test('the page has three walks from an id to its cause', () => {
  expect(walks).toHaveLength(3);
});

test.each(walks)('walk %# says what the program says', ({ lines, text }) => {
  const requestId = String(lines[0]?.requestId);
  const told = lines.map((line) => describeLogLine(line, requestId));
  expect(told.join('\n')).toBe(text);
});

test('lines about other requests and other events are left out', () => {
  expect(describeLogLine({ event: 'request', requestId: 'a' }, 'b')).toBeUndefined();
  expect(describeLogLine({ event: 'member', requestId: 'a' }, 'a')).toBeUndefined();
});
