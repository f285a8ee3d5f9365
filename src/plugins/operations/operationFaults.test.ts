import { OperationFixture } from '../../../tests/OperationFixture';
import { ServingError } from '../../core';
import { OPERATION_OPTIONS } from './options';

const FIRST = '201 run 1';
const LIFETIME_MS = OPERATION_OPTIONS.ticketLifetimeMs;

let scene: OperationFixture;

afterEach(async () => scene.service.stop());

/** Each row: the actions, the results that callers get in order, and how often the service ran. */
const FAULTS: ReadonlyArray<{
  readonly name: string;
  readonly act: () => Promise<ReadonlyArray<string>>;
  readonly expected: ReadonlyArray<string>;
  readonly runs: number;
}> = [
  {
    name: 'repeat at every node',
    act: async () => [await scene.send(1), await scene.send(0), await scene.send(2)],
    expected: [FIRST, FIRST, FIRST],
    runs: 1,
  },
  {
    name: 'concurrent repeats',
    act: async () => {
      const { sent } = await scene.beginHeld(0);
      const repeats = [scene.begin(0), scene.begin(1)];
      await scene.fleet.deliverAll();
      scene.service.release();
      return scene.fleet.settle(Promise.all([sent, ...repeats]), () => true);
    },
    expected: [FIRST, FIRST, FIRST],
    runs: 1,
  },
  {
    name: 'another body, path or kind',
    act: async () => [
      await scene.send(0),
      await scene.send(1, { body: 'b' }),
      await scene.send(0, { path: '/charge' }),
      await scene.send(0, { kind: 'charge' }),
    ],
    expected: [FIRST, ...new Array<string>(3).fill('operation-key-reused')],
    runs: 1,
  },
  {
    name: 'key of another customer, forged key',
    act: async () => [
      await scene.send(0, { customer: 'other-cafe' }),
      await scene.send(1, { key: `${scene.key}x` }),
      await scene.send(1, { key: `e30.${scene.key.split('.')[1] ?? ''}` }),
      await scene.send(1, { key: 'nonsense' }),
    ],
    expected: new Array<string>(4).fill('invalid-token'),
    runs: 0,
  },
  {
    name: 'expired key',
    act: async () => {
      scene.advance(LIFETIME_MS);
      return [await scene.send(1), await scene.send(0)];
    },
    expected: ['operation-key-expired', 'operation-key-expired'],
    runs: 0,
  },
  {
    name: 'repeat late, and after the retention',
    act: async () => {
      const first = await scene.send(0);
      scene.advance(LIFETIME_MS + OPERATION_OPTIONS.retentionMs - 1_000);
      const late = await scene.send(1);
      scene.advance(2_000);
      return [first, late, await scene.send(0), await scene.send(1)];
    },
    expected: [FIRST, FIRST, 'outcome-unknown', 'outcome-unknown'],
    runs: 1,
  },
  {
    name: 'owner restarted before the call',
    act: async () => {
      await scene.fleet.restart(0);
      return [await scene.send(0), await scene.send(1)];
    },
    expected: ['operation-closed', 'operation-closed'],
    runs: 0,
  },
  {
    name: 'owner restarted after the answer',
    act: async () => {
      const first = await scene.send(0);
      await scene.fleet.deliverAll();
      await scene.fleet.restart(0);
      return [first, await scene.send(0), await scene.send(2), await scene.send(1, { body: 'b' })];
    },
    expected: [FIRST, FIRST, FIRST, 'operation-key-reused'],
    runs: 1,
  },
  {
    name: 'owner killed between grant and answer',
    act: async () => {
      await scene.beginHeld(0);
      scene.fleet.kill(0);
      return [await scene.send(1), await scene.send(2)];
    },
    expected: ['outcome-unknown', 'outcome-unknown'],
    runs: 1,
  },
  {
    name: 'owner partitioned while the call runs',
    act: async () => {
      const { sent } = await scene.beginHeld(0);
      scene.fleet.intercept = ({ from, to }) =>
        from === 'entry-1' || to === 'entry-1' ? 'drop' : undefined;
      const meanwhile = await scene.fleet.settle(scene.begin(1));
      scene.service.release();
      const result = await scene.fleet.settle(sent, () => scene.service.isBusy);
      scene.fleet.intercept = () => undefined;
      return [meanwhile, result, await scene.send(1)];
    },
    expected: ['outcome-unknown', FIRST, FIRST],
    runs: 1,
  },
  {
    name: 'owner and one witness lost after the answer',
    act: async () => {
      const first = await scene.send(0);
      await scene.fleet.deliverAll();
      scene.fleet.kill(0);
      await scene.fleet.restart(1);
      return [first, await scene.send(1)];
    },
    expected: [FIRST, FIRST],
    runs: 1,
  },
  {
    name: 'owner and all witnesses restarted',
    act: async () => {
      await scene.fleet.restart(0);
      await scene.fleet.restart(1);
      await scene.fleet.restart(2);
      return [await scene.send(0), await scene.send(1)];
    },
    expected: ['outcome-unknown', 'outcome-unknown'],
    runs: 0,
  },
  {
    name: 'witness restarted before the grant',
    act: async () => {
      await scene.fleet.restart(1);
      return [await scene.send(0), await scene.send(2)];
    },
    expected: ['operation-closed', 'operation-closed'],
    runs: 0,
  },
  {
    name: 'call to the owner lost',
    act: async () => {
      scene.dropLabelled('operation.run');
      const lost = await scene.send(1);
      scene.dropLabelled();
      return [lost, await scene.send(0), await scene.send(1)];
    },
    expected: ['operation-closed', 'operation-closed', 'operation-closed'],
    runs: 0,
  },
  {
    name: 'call delayed until its ticket is closed',
    act: async () => {
      scene.fleet.intercept = ({ label }) => (label === 'operation.run' ? 'hold' : undefined);
      const delayed = await scene.send(1);
      scene.fleet.releaseHeld();
      await scene.fleet.deliverAll();
      return [delayed, await scene.send(0)];
    },
    expected: ['operation-closed', 'operation-closed'],
    runs: 0,
  },
  {
    name: 'reply of the owner lost',
    act: async () => {
      scene.dropLabelled('operation.run reply');
      return [await scene.send(1), await scene.send(0)];
    },
    expected: [FIRST, FIRST],
    runs: 1,
  },
  {
    name: 'reply to a grant lost',
    act: async () => {
      scene.dropLabelled('operation.grant reply');
      const first = await scene.send(0);
      await scene.fleet.deliverAll();
      scene.fleet.kill(0);
      return [first, await scene.send(1)];
    },
    expected: ['operation-closed', 'operation-closed'],
    runs: 0,
  },
  {
    name: 'grant delayed until the owner has closed the ticket',
    act: async () => {
      scene.fleet.intercept = ({ label }) => (label === 'operation.grant' ? 'hold' : undefined);
      const first = await scene.send(0);
      scene.fleet.releaseHeld();
      await scene.fleet.deliverAll();
      return [first, await scene.send(0)];
    },
    expected: ['operation-closed', 'operation-closed'],
    runs: 0,
  },
  {
    name: 'outcome reported only at the second attempt',
    act: async () => {
      scene.dropLabelled('operation.outcome');
      const first = await scene.send(0);
      scene.dropLabelled();
      for (let round = 0; round < 20; round++) {
        scene.advance(100);
        await scene.fleet.deliverAll();
      }
      scene.fleet.kill(0);
      return [first, await scene.send(1)];
    },
    expected: [FIRST, FIRST],
    runs: 1,
  },
  {
    name: 'every message delivered twice',
    act: async () => {
      scene.fleet.intercept = ({ mayDuplicate }) => (mayDuplicate ? 'duplicate' : undefined);
      return [await scene.send(1), await scene.send(2)];
    },
    expected: [FIRST, FIRST],
    runs: 1,
  },
  {
    name: 'owner paused past the deadline during the grant',
    act: async () => {
      const sent = scene.begin(0);
      await scene.fleet.flush();
      scene.fleet.advance(LIFETIME_MS);
      return [await scene.fleet.settle(sent), await scene.send(1)];
    },
    expected: ['operation-key-expired', 'operation-key-expired'],
    runs: 0,
  },
  {
    name: 'service refuses the connection, then recovers',
    act: async () => {
      const { port } = new URL(scene.url.value);
      await scene.service.stop();
      const first = await scene.send(0);
      await scene.service.start(Number(port));
      return [first, await scene.send(0), await scene.send(1)];
    },
    expected: ['operation-closed', 'operation-closed', 'operation-closed'],
    runs: 0,
  },
  {
    name: 'service resets after the request',
    act: async () => {
      scene.service.behaviour = 'reset after the request';
      const first = await scene.send(1);
      scene.service.behaviour = 'answer';
      return [first, await scene.send(0), await scene.send(2)];
    },
    expected: ['outcome-unknown', 'outcome-unknown', 'outcome-unknown'],
    runs: 1,
  },
  {
    name: 'drain of the owner',
    act: async () => {
      const { kernel } = scene.fleet.get(0);
      const { sent } = await scene.beginHeld(0);
      const drained = kernel.drain();
      const refused = await scene
        .issueKey(0)
        .catch((thrown: unknown) => ServingError.from(thrown).kind);
      const joined = scene.begin(0);
      scene.service.release();
      const results = await scene.fleet.settle(Promise.all([sent, joined]), () => true);
      await scene.fleet.settle(drained);
      scene.fleet.kill(0);
      return [refused, ...results, await scene.send(1)];
    },
    expected: ['draining', FIRST, FIRST, FIRST],
    runs: 1,
  },
];

// Guards against a second run, a false `not-run`, and a repeat that gets a different answer.
test.each(FAULTS)('$name', async ({ act, expected, runs }) => {
  scene = await OperationFixture.start();
  expect(await act()).toEqual(expected);
  expect(scene.service.requests).toHaveLength(runs);
});

// Guards against `not-run` from a restarted node for a ticket without witnesses.
test('a single node issues keys without witnesses', async () => {
  scene = await OperationFixture.start(1);
  expect(await scene.send(0)).toBe(FIRST);
  await scene.fleet.restart(0);
  expect(await scene.send(0)).toBe('outcome-unknown');
  expect(scene.service.requests).toHaveLength(1);
});

// Guards against unbounded tables, and against evicting tickets that can still be used.
test('a full table refuses new keys and keeps old ones', async () => {
  scene = await OperationFixture.start(3, { maxEntries: 3 });
  await scene.issueKey(0);
  await scene.issueKey(0);
  await expect(scene.issueKey(0)).rejects.toMatchObject({ kind: 'overloaded' });
  expect(await scene.send(1)).toBe(FIRST);
  scene.advance(LIFETIME_MS + OPERATION_OPTIONS.retentionMs + 10_000);
  expect(await scene.issueKey(0)).toEqual(expect.any(String));
});

// Guards against decisions that leave no record of their reason.
test('logs one line per decision', async () => {
  scene = await OperationFixture.start();
  await scene.send(1);
  scene.fleet.kill(0);
  await scene.send(1);
  expect(scene.fleet.decisions).toEqual([
    'entry-2 route: the node that issued the key runs the call',
    expect.stringMatching(/^entry-1 admit: granted by entry-2, entry-3; dispatched once$/),
    'entry-1 finish: the service answered',
    'entry-2 route: the node that issued the key runs the call',
    'entry-2 retry: The owner gave no reply. Asked the witnesses: ended.',
  ]);
});
