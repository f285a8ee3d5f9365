import { waitUntil } from '../tests/waitUntil';
import { PlainService, type ServiceFaults } from '.';

let service: PlainService;

beforeEach(async () => {
  service = await PlainService.start();
});

afterEach(async () => {
  await service.stop();
});

async function call(id: string): Promise<Response> {
  return fetch(`${service.url}/credits`, { method: 'POST', body: JSON.stringify({ id }) });
}

async function setFaults(faults: Partial<ServiceFaults>): Promise<void> {
  await fetch(`${service.url}/control/faults`, { method: 'POST', body: JSON.stringify(faults) });
}

async function getOutcome(response: Promise<Response>): Promise<number | 'reset'> {
  return response.then(
    ({ status }) => status,
    () => 'reset' as const,
  );
}

// Guards against a counter that mixes the runs of different calls.
test('counts runs by call id', async () => {
  await call('a');
  await call('a');
  await call('b');
  expect(service.runs).toEqual({ a: 2, b: 1 });
});

test.each([
  { faults: { beforeRun: 'reset' }, outcome: 'reset', runs: {} },
  { faults: { afterRun: 'reset' }, outcome: 'reset', runs: { a: 1 } },
  { faults: { afterRun: 'fail' }, outcome: 500, runs: { a: 1 } },
] as const)('injects $faults once', async ({ faults, outcome, runs }) => {
  await setFaults({ ...faults, times: 1 });
  expect(await getOutcome(call('a'))).toBe(outcome);
  expect(service.runs).toEqual(runs);
  expect((await call('b')).status).toBe(200);
});

test.each([
  { faults: { beforeRun: 'hang' }, runs: {} },
  { faults: { afterRun: 'hang' }, runs: { a: 1 } },
] as const)('hangs with $faults until released', async ({ faults, runs }) => {
  await setFaults(faults);
  const response = call('a');
  await waitUntil('the call hangs', () => service.held > 0);
  expect(service.runs).toEqual(runs);
  service.release();
  expect((await response).status).toBe(200);
  expect(service.runs).toEqual({ a: 1 });
});

test('reports that it is leaving', async () => {
  service.setLeaving(true);
  expect((await fetch(`${service.url}/healthz`)).headers.get('x-leaving')).toBe('true');
});
