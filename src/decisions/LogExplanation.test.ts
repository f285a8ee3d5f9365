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

function tell(lines: ReadonlyArray<LogLine>): ReadonlyArray<string> {
  const explanation = new LogExplanation('r-1');
  lines.forEach((line) => explanation.add(line));
  return explanation.getSentences();
}

// Guards against a request of a killed process whose lines stop without a word.
test('the next start of the node explains a missing end', () => {
  const told = tell([
    { time: '2026-07-15T11:00:40.000Z', event: 'started', vmId: 'front-1' },
    placed,
    { time: '2026-07-15T11:00:44.000Z', event: 'started', vmId: 'front-2' },
    { time: '2026-07-15T11:00:45.000Z', event: 'started', vmId: 'front-1' },
  ]);
  expect(told).toHaveLength(2);
  expect(told[1]).toBe(
    '2026-07-15T11:00:45.000Z front-1: Started anew without having logged an end of the request, which was lost with the process before.',
  );
});

// Guards against a running request that is taken for a lost one.
test('without a later start the request may still run', () => {
  expect(tell([placed])[1]).toContain('still runs at front-1');
});

test('a request with an end gets no guess', () => {
  const end = { ...placed, event: 'request', outcome: '200', totalMs: 3, route: 'report' };
  expect(tell([placed, end])).toHaveLength(2);
  expect(tell([])).toHaveLength(0);
});
