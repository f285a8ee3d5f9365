import { OperationFixture } from '../../../tests/OperationFixture';
import { ServingError } from '../../core';
import { OPERATION_OPTIONS } from './options';

const FIRST = '201 run 1';
const LIFETIME_MS = OPERATION_OPTIONS.ticketLifetimeMs;

let fixture: OperationFixture;

afterEach(async () => fixture.service.stop());

/** Each row: the actions, the results that callers get in order, and how often the service ran. */
const FAULTS: ReadonlyArray<{
  readonly name: string;
  readonly act: () => Promise<ReadonlyArray<string>>;
  readonly expected: ReadonlyArray<string>;
  readonly runs: number;
}> = [
  {
    name: 'repeat at every node',
    act: async () => [await fixture.send(1), await fixture.send(0), await fixture.send(2)],
    expected: [FIRST, FIRST, FIRST],
    runs: 1,
  },
  {
    name: 'concurrent repeats',
    act: async () => {
      const { sent } = await fixture.beginHeld(0);
      const repeats = [fixture.begin(0), fixture.begin(1)];
      await fixture.fleet.deliverAll();
      fixture.service.release();
      return fixture.fleet.settle(Promise.all([sent, ...repeats]), () => true);
    },
    expected: [FIRST, FIRST, FIRST],
    runs: 1,
  },
  {
    name: 'another body, path or kind',
    act: async () => [
      await fixture.send(0),
      await fixture.send(1, { body: 'b' }),
      await fixture.send(0, { path: '/charge' }),
      await fixture.send(0, { kind: 'charge' }),
    ],
    expected: [FIRST, ...new Array<string>(3).fill('operation-key-reused')],
    runs: 1,
  },
  {
    name: 'key of another customer, forged key',
    act: async () => [
      await fixture.send(0, { customer: 'other-cafe' }),
      await fixture.send(1, { key: `${fixture.key}x` }),
      await fixture.send(1, { key: `e30.${fixture.key.split('.')[1] ?? ''}` }),
      await fixture.send(1, { key: 'nonsense' }),
    ],
    expected: new Array<string>(4).fill('invalid-token'),
    runs: 0,
  },
  {
    name: 'expired key',
    act: async () => {
      fixture.advance(LIFETIME_MS);
      return [await fixture.send(1), await fixture.send(0)];
    },
    expected: ['operation-key-expired', 'operation-key-expired'],
    runs: 0,
  },
  {
    name: 'repeat late, and after the retention',
    act: async () => {
      const first = await fixture.send(0);
      fixture.advance(LIFETIME_MS + OPERATION_OPTIONS.retentionMs - 1_000);
      const late = await fixture.send(1);
      fixture.advance(2_000);
      return [first, late, await fixture.send(0), await fixture.send(1)];
    },
    expected: [FIRST, FIRST, 'outcome-unknown', 'outcome-unknown'],
    runs: 1,
  },
  {
    name: 'owner restarted before the call',
    act: async () => {
      await fixture.fleet.restart(0);
      return [await fixture.send(0), await fixture.send(1)];
    },
    expected: ['operation-closed', 'operation-closed'],
    runs: 0,
  },
  {
    name: 'owner restarted after the answer',
    act: async () => {
      const first = await fixture.send(0);
      await fixture.fleet.deliverAll();
      await fixture.fleet.restart(0);
      return [
        first,
        await fixture.send(0),
        await fixture.send(2),
        await fixture.send(1, { body: 'b' }),
      ];
    },
    expected: [FIRST, FIRST, FIRST, 'operation-key-reused'],
    runs: 1,
  },
  {
    name: 'owner killed between grant and answer',
    act: async () => {
      await fixture.beginHeld(0);
      fixture.fleet.kill(0);
      return [await fixture.send(1), await fixture.send(2)];
    },
    expected: ['outcome-unknown', 'outcome-unknown'],
    runs: 1,
  },
  {
    name: 'owner partitioned while the call runs',
    act: async () => {
      const { sent } = await fixture.beginHeld(0);
      fixture.fleet.intercept = ({ from, to }) =>
        from === 'entry-1' || to === 'entry-1' ? 'drop' : undefined;
      const meanwhile = await fixture.fleet.settle(fixture.begin(1));
      fixture.service.release();
      const result = await fixture.fleet.settle(sent, () => fixture.service.isBusy);
      fixture.fleet.intercept = () => undefined;
      return [meanwhile, result, await fixture.send(1)];
    },
    expected: ['outcome-unknown', FIRST, FIRST],
    runs: 1,
  },
  {
    name: 'owner and one witness lost after the answer',
    act: async () => {
      const first = await fixture.send(0);
      await fixture.fleet.deliverAll();
      fixture.fleet.kill(0);
      await fixture.fleet.restart(1);
      return [first, await fixture.send(1)];
    },
    expected: [FIRST, FIRST],
    runs: 1,
  },
  {
    name: 'owner and all witnesses restarted',
    act: async () => {
      await fixture.fleet.restart(0);
      await fixture.fleet.restart(1);
      await fixture.fleet.restart(2);
      return [await fixture.send(0), await fixture.send(1)];
    },
    expected: ['outcome-unknown', 'outcome-unknown'],
    runs: 0,
  },
  {
    name: 'witness restarted before the grant',
    act: async () => {
      await fixture.fleet.restart(1);
      return [await fixture.send(0), await fixture.send(2)];
    },
    expected: ['operation-closed', 'operation-closed'],
    runs: 0,
  },
  {
    name: 'call to the owner lost',
    act: async () => {
      fixture.dropLabelled('operation.run');
      const lost = await fixture.send(1);
      fixture.dropLabelled();
      return [lost, await fixture.send(0), await fixture.send(1)];
    },
    expected: ['operation-closed', 'operation-closed', 'operation-closed'],
    runs: 0,
  },
  {
    name: 'call delayed until its ticket is closed',
    act: async () => {
      fixture.fleet.intercept = ({ label }) => (label === 'operation.run' ? 'hold' : undefined);
      const delayed = await fixture.send(1);
      fixture.fleet.releaseHeld();
      await fixture.fleet.deliverAll();
      return [delayed, await fixture.send(0)];
    },
    expected: ['operation-closed', 'operation-closed'],
    runs: 0,
  },
  {
    name: 'reply of the owner lost',
    act: async () => {
      fixture.dropLabelled('operation.run reply');
      return [await fixture.send(1), await fixture.send(0)];
    },
    expected: [FIRST, FIRST],
    runs: 1,
  },
  {
    name: 'reply to a grant lost',
    act: async () => {
      fixture.dropLabelled('operation.grant reply');
      const first = await fixture.send(0);
      await fixture.fleet.deliverAll();
      fixture.fleet.kill(0);
      return [first, await fixture.send(1)];
    },
    expected: ['operation-closed', 'operation-closed'],
    runs: 0,
  },
  {
    name: 'grant delayed until the owner has closed the ticket',
    act: async () => {
      fixture.fleet.intercept = ({ label }) => (label === 'operation.grant' ? 'hold' : undefined);
      const first = await fixture.send(0);
      fixture.fleet.releaseHeld();
      await fixture.fleet.deliverAll();
      return [first, await fixture.send(0)];
    },
    expected: ['operation-closed', 'operation-closed'],
    runs: 0,
  },
  {
    name: 'outcome reported only at the second attempt',
    act: async () => {
      fixture.dropLabelled('operation.outcome');
      const first = await fixture.send(0);
      fixture.dropLabelled();
      for (let round = 0; round < 20; round++) {
        fixture.advance(100);
        await fixture.fleet.deliverAll();
      }
      fixture.fleet.kill(0);
      return [first, await fixture.send(1)];
    },
    expected: [FIRST, FIRST],
    runs: 1,
  },
  {
    name: 'every message delivered twice',
    act: async () => {
      fixture.fleet.intercept = ({ mayDuplicate }) => (mayDuplicate ? 'duplicate' : undefined);
      return [await fixture.send(1), await fixture.send(2)];
    },
    expected: [FIRST, FIRST],
    runs: 1,
  },
  {
    name: 'owner paused past the deadline during the grant',
    act: async () => {
      const sent = fixture.begin(0);
      await fixture.fleet.flush();
      fixture.fleet.advance(LIFETIME_MS);
      return [await fixture.fleet.settle(sent), await fixture.send(1)];
    },
    expected: ['operation-key-expired', 'operation-key-expired'],
    runs: 0,
  },
  {
    name: 'service refuses the connection, then recovers',
    act: async () => {
      const { port } = new URL(fixture.url.value);
      await fixture.service.stop();
      const first = await fixture.send(0);
      await fixture.service.start(Number(port));
      return [first, await fixture.send(0), await fixture.send(1)];
    },
    expected: ['operation-closed', 'operation-closed', 'operation-closed'],
    runs: 0,
  },
  {
    name: 'service resets after the request',
    act: async () => {
      fixture.service.behaviour = 'reset after the request';
      const first = await fixture.send(1);
      fixture.service.behaviour = 'answer';
      return [first, await fixture.send(0), await fixture.send(2)];
    },
    expected: ['outcome-unknown', 'outcome-unknown', 'outcome-unknown'],
    runs: 1,
  },
  {
    name: 'drain of the owner',
    act: async () => {
      const { kernel } = fixture.fleet.get(0);
      const { sent } = await fixture.beginHeld(0);
      const drained = kernel.drain();
      const refused = await fixture
        .issueKey(0)
        .catch((thrown: unknown) => ServingError.from(thrown).kind);
      const joined = fixture.begin(0);
      fixture.service.release();
      const results = await fixture.fleet.settle(Promise.all([sent, joined]), () => true);
      await fixture.fleet.settle(drained);
      fixture.fleet.kill(0);
      return [refused, ...results, await fixture.send(1)];
    },
    expected: ['draining', FIRST, FIRST, FIRST],
    runs: 1,
  },
];

// Guards against a second run, a false `not-run`, and a repeat that gets a different answer.
test.each(FAULTS)('$name', async ({ act, expected, runs }) => {
  fixture = await OperationFixture.start();
  expect(await act()).toEqual(expected);
  expect(fixture.service.requests).toHaveLength(runs);
});

// Guards against `not-run` from a restarted node for a ticket without witnesses.
test('a single node issues keys without witnesses', async () => {
  fixture = await OperationFixture.start(1);
  expect(await fixture.send(0)).toBe(FIRST);
  await fixture.fleet.restart(0);
  expect(await fixture.send(0)).toBe('outcome-unknown');
  expect(fixture.service.requests).toHaveLength(1);
});

// Guards against unbounded tables, and against evicting tickets that can still be used.
test('a full table refuses new keys and keeps old ones', async () => {
  fixture = await OperationFixture.start(3, { maxEntries: 3 });
  await fixture.issueKey(0);
  await fixture.issueKey(0);
  await expect(fixture.issueKey(0)).rejects.toMatchObject({ kind: 'overloaded' });
  expect(await fixture.send(1)).toBe(FIRST);
  fixture.advance(LIFETIME_MS + OPERATION_OPTIONS.retentionMs + 10_000);
  expect(await fixture.issueKey(0)).toEqual(expect.any(String));
});

// Guards against decisions that leave no record of their reason.
test('logs one line per decision', async () => {
  fixture = await OperationFixture.start();
  await fixture.send(1);
  fixture.fleet.kill(0);
  await fixture.send(1);
  expect(fixture.fleet.decisions).toEqual([
    'entry-2 route: the node that issued the key runs the call',
    expect.stringMatching(/^entry-1 admit: granted by entry-2, entry-3; dispatched once$/),
    'entry-1 finish: the service answered',
    'entry-2 route: the node that issued the key runs the call',
    'entry-2 retry: The owner gave no reply. Asked the witnesses: ended.',
  ]);
});
