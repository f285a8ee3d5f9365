import { LogExplanation } from './LogExplanation';
import type { LogLine } from './describeLogLine';

const placed: LogLine = {
  time: '2026-07-15T11:00:43.217Z',
  event: 'decision',
  vmId: 'front-1',
  requestId: 'r-1',
  step: 'route',
  endpointId: 'i-1',
  service: 'writers',
  candidates: 2,
  confirmedAgeMs: 10,
  clause: 'routes.report.targets',
  configurationVersion: 3,
};

function explain(lines: ReadonlyArray<LogLine>): ReadonlyArray<string> {
  const explanation = new LogExplanation('r-1');
  lines.forEach((line) => explanation.add(line));
  return explanation.getSentences();
}

// Guards against giving no explanation when a killed process logged no end of its request.
test('the next start of the node explains a missing end', () => {
  const sentences = explain([
    { time: '2026-07-15T11:00:40.000Z', event: 'started', vmId: 'front-1' },
    placed,
    { time: '2026-07-15T11:00:44.000Z', event: 'started', vmId: 'front-2' },
    { time: '2026-07-15T11:00:45.000Z', event: 'started', vmId: 'front-1' },
  ]);
  expect(sentences).toHaveLength(2);
  expect(sentences[1]).toBe(
    '2026-07-15T11:00:45.000Z front-1: Started anew without having logged an end of the request, which was lost with the process before.',
  );
});

// Guards against a placement far from its caller that nothing explains.
test('the allowed regions of a placement are told', () => {
  const [sentence] = explain([{ ...placed, allowedRegions: ['seq', 'fnq'] }]);
  expect(sentence).toContain('10 ms ago; only the regions seq, fnq are allowed (clause');
});

// Guards against reporting a running request as lost.
test('without a later start the request may still run', () => {
  expect(explain([placed])[1]).toContain('still runs at front-1');
});

test('a request with a logged end gets no further sentence', () => {
  const end = { ...placed, event: 'request', outcome: '200', totalMs: 3, route: 'report' };
  expect(explain([placed, end])).toHaveLength(2);
  expect(explain([])).toHaveLength(0);
});

// Guards against an attempt without its whole body that looks like the others.
test('an attempt that lacks a part of the body is told', () => {
  const attempts = [
    { endpointId: 'i-1', outcome: '200', afterMs: 3, bodyBytes: 100_000 },
    { endpointId: 'i-2', outcome: '200', afterMs: 900, bodyBytes: 0 },
  ];
  const end = { ...placed, event: 'request', outcome: '200', totalMs: 950, bodyBytes: 100_000 };
  const sentence = explain([placed, { ...end, attempts }])[1];
  expect(sentence).toContain(
    'Sent to i-1 after 3 ms: 200; i-2 after 900 ms: 200 (0 of 100000 bytes of the body).',
  );
});

// Guards against a cut stream whose explanation doesn't tell that its engine crashed, and how far the
// answer was.
test.each([
  [{ hadHead: true, outputForMs: 1_200 }, 'while the answer had had output for 1200 ms'],
  [{ hadHead: true }, 'while the answer had begun without output'],
  [{ hadHead: false }, 'while the answer had not begun'],
])('a crash of the engine is told: %j', (progress, expected) => {
  const crash = { ...placed, event: 'endpoint crashed', promptParts: ['a', 'b'], ...progress };
  const sentence = explain([placed, crash])[1];
  expect(sentence).toContain(`i-1 crashed ${expected}`);
  expect(sentence).toContain('shared parts of the prompt: a, b.');
});
