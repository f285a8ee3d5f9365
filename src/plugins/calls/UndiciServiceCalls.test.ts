import { RawService, type RawBehaviour } from '../../../tests/RawService';
import { ServingError, SystemClock, type EndpointId } from '../../core';
import type { FleetEndpoint, Router, ServiceCall } from '../../services';
import { UndiciServiceCalls } from './UndiciServiceCalls';

const clock = new SystemClock();
const calls = new UndiciServiceCalls({} as Router, clock);
const services: RawService[] = [];

afterEach(async () => {
  await Promise.all(services.splice(0).map(async (service) => service.stop()));
});

async function startService(behaviour: RawBehaviour): Promise<[RawService, FleetEndpoint]> {
  const service = new RawService();
  service.behaviour = behaviour;
  services.push(service);
  const url = await service.start();
  return [service, { endpointId: 'credits-1' as EndpointId, vm: { url } } as FleetEndpoint];
}

function createCall(method: string): ServiceCall {
  const body = method === 'GET' ? new Uint8Array() : new Uint8Array(300_000);
  return { method, path: '/credit', headers: {}, body };
}

const FAILURES: ReadonlyArray<RawBehaviour> = [
  'reset on accept',
  'close on accept',
  'stop listening and reset on accept',
  'reset in the request',
  'reset after the request',
  'close after the request',
  'stop listening and reset after the request',
  'reset in the answer head',
  'close in the answer body',
  'malformed answer',
  'an odd status',
  'too large an answer',
  'no answer',
];

// Guards against a retry by the HTTP client, also for methods that it considers idempotent, and
// against reporting `not-run` for a call that may have been sent.
test.each(
  FAILURES.flatMap((behaviour) => ['GET', 'POST'].map((method) => ({ behaviour, method }))),
)('sends $method once: $behaviour', async ({ behaviour, method }) => {
  const [service, endpoint] = await startService(behaviour);
  const sent = calls.sendOnce(endpoint, createCall(method), clock.nowMs() + 400);
  // A reset at the end of the TCP handshake looks like a refused connection.
  const kinds = behaviour.endsWith('reset on accept')
    ? /^(outcome-unknown|endpoint-unreachable)$/
    : /^outcome-unknown$/;
  await expect(sent).rejects.toMatchObject({ kind: expect.stringMatching(kinds) });
  await clock.sleep(50);
  if (behaviour.endsWith('reset on accept')) expect(service.requests).toEqual([]);
  expect(service.connections).toBe(1);
  expect(service.requests.length).toBeLessThanOrEqual(1);
});

// Guards against reporting `unknown` when nothing can have been sent.
test('a refused connection means not run', async () => {
  const [service, endpoint] = await startService('answer');
  await service.stop();
  const sent = calls.sendOnce(endpoint, createCall('POST'), clock.nowMs() + 5_000);
  await expect(sent).rejects.toMatchObject({ kind: 'endpoint-unreachable' });
});

// Guards against sending late on a node that was paused while it connected.
test('sends nothing after the send deadline', async () => {
  const [service, endpoint] = await startService('answer');
  const nowMs = clock.nowMs();
  const sent = calls.sendOnce(endpoint, createCall('POST'), nowMs + 5_000, nowMs);
  await expect(sent).rejects.toMatchObject({ kind: 'endpoint-unreachable' });
  expect(service.requests).toEqual([]);
});

// Guards against changes to the response on its way to the caller.
test('forwards status, headers and body', async () => {
  const [, endpoint] = await startService('answer');
  const answer = await calls.sendOnce(endpoint, createCall('POST'), clock.nowMs() + 5_000);
  expect(answer).toEqual({
    status: 201,
    headers: { 'x-run': '1' },
    body: new TextEncoder().encode('run 1'),
  });
});

// Guards against "not run" for a repeatable call that may have run, as no other endpoint is left.
test('a lost call is not told as not run when no other endpoint is left', async () => {
  const [, endpoint] = await startService('close after the request');
  let assigned = 0;
  const assign = async (): Promise<unknown> => {
    assigned += 1;
    if (assigned > 1) throw new ServingError('no-endpoint', { detail: 'none left' });
    return { endpoint, release: () => {} };
  };
  const kind = { name: 'lookup', attempts: 2, answerWithinMs: 1_000 };
  const context = { clause: { kind, path: 'kinds.lookup' } } as unknown as Parameters<
    UndiciServiceCalls['runRepeatable']
  >[1];
  const repeatable = new UndiciServiceCalls({ assign } as unknown as Router, clock);
  const answer = repeatable.runRepeatable(createCall('GET'), context);
  await expect(answer).rejects.toMatchObject({ kind: 'endpoint-failed' });
});
