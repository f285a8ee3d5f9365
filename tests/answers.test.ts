/**
 * Every request that was read gets one answer, or its caller has left.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { WholeDelivery } from '../src/plugins/forwarding/WholeDelivery';
import { RequestDialect, ServingMetrics } from '../src/services';
import { CallerConnection } from './CallerConnection';
import { createStoreConfiguration, FrontFixture, type FrontNode } from './FrontFixture';

let fixture: FrontFixture;
let callers: ReadonlyArray<CallerConnection> = [];

beforeEach(async () => {
  fixture = await FrontFixture.start();
  fixture.store.put('op/config', createStoreConfiguration());
  callers = [];
});

afterEach(async () => {
  jest.restoreAllMocks();
  callers.forEach((caller) => caller.close());
  await fixture.stop();
});

async function openCaller(node: FrontNode): Promise<CallerConnection> {
  const caller = await CallerConnection.open(node.settings.node.callerAddress);
  callers = [...callers, caller];
  return caller;
}

const BRIEF = { 'x-bramleyvane-deadline-ms': '300' };

// Guards against an error thrown while an error is answered: its caller got no answer, and the
// rejected promise of the task ended the whole process.
test.each([
  ['headers of the answer', RequestDialect, 'writeAnswerHeaders', 404],
  ['metrics', ServingMetrics, 'countRefusal', 404],
  ['head of the request', RequestDialect, 'readRequest', 500],
] as const)('an error thrown in the %s is answered', async (_name, key, method, expected) => {
  const node = await fixture.addReadyNode(0);
  const caller = await openCaller(node);
  jest.spyOn(node.kernel.get<object>(key), method as never).mockImplementation(() => {
    throw new Error('an error that nothing expects');
  });
  let rejected = 0;
  const count = (): void => {
    rejected += 1;
  };
  process.on('unhandledRejection', count);
  caller.send('/nowhere/a');
  const status = await Promise.race([caller.readStatus(), sleep(2_000, 0)]);
  process.off('unhandledRejection', count);
  expect({ status, rejected }).toEqual({ status: expected, rejected: 0 });
});

// Guards against a request that is left without an answer, and without a sign of it, by a task that
// ends too early or never.
test.each(['task ended', 'overdue'])(
  'a request whose %s is answered and counted',
  async (cause) => {
    const node = await fixture.addReadyNode(0);
    const metrics = node.kernel.get(ServingMetrics);
    jest
      .spyOn(WholeDelivery.prototype, 'deliver')
      .mockReturnValue(cause === 'overdue' ? new Promise(() => {}) : Promise.resolve());
    const caller = await openCaller(node);
    caller.send('/credit/a', BRIEF);
    expect(await caller.readStatus()).toBe(cause === 'overdue' ? 503 : 500);
    const line = node.lines.find(({ event }) => event === 'request ended without an answer');
    expect(line).toMatchObject({ cause, requestId: expect.stringMatching(/^raw-/) });
    const { text } = await metrics.render();
    expect(text).toContain(`bramleyvane_unanswered_requests_total{cause="${cause}"} 1`);
  },
);
