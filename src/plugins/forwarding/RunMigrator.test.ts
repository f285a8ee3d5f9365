import { TestKernel } from '../../kernel/TestKernel';
import { RequestDialect } from '../../services';
import { BufferedBody } from './CallerBody';
import type { EndpointPlacer } from './EndpointPlacer';
import type { OutputEstimator } from './OutputEstimator';
import type { RetryPolicy } from './RetryPolicy';
import { RunMigrator } from './RunMigrator';
import type { SegmentOpener } from './SegmentOpener';
import type { RunningStream } from './Takeover';

const BODY = new BufferedBody(Buffer.from('text'));
const LOST_BODY = { keep: () => undefined };

function createStream(body: unknown): RunningStream {
  return {
    admitted: { work: { service: 'writers' }, request: { requestId: 'r-1' }, body },
    progress: { outputTokens: 8 },
    segment: {
      placed: { backEnd: { endpointId: 'i-0' } },
      backup: { backEnd: { endpointId: 'i-1', address: '10.0.0.1:80' } },
    },
  } as unknown as RunningStream;
}

// Guards against retries that a cold engine without quota, or a lost body, costs, and against places
// that stay taken.
test.each([
  ['no quota', BODY, false, true, { isRecovered: false, taken: 0, released: 0 }],
  ['no budget', BODY, true, false, { isRecovered: false, taken: 1, released: 1 }],
  ['a lost body', LOST_BODY, true, true, { isRecovered: false, taken: 0, released: 1 }],
  ['all of them', BODY, true, true, { isRecovered: true, taken: 1, released: 0 }],
])('recovery with %s', (_name, body, hasQuota, hasBudget, expected) => {
  const kernel = new TestKernel([]);
  kernel.provide(RequestDialect, { getBackupHandle: () => 'h' } as unknown as RequestDialect);
  const release = jest.fn();
  const takeFromBudget = jest.fn(() => hasBudget);
  const placer = { mayUse: () => true, placeAtBackup: () => (hasQuota ? { release } : undefined) };
  const migrator = new RunMigrator(
    kernel,
    placer as unknown as EndpointPlacer,
    {} as OutputEstimator,
    { takeFromBudget } as unknown as RetryPolicy,
    {} as SegmentOpener,
  );
  const isRecovered = migrator.recover(createStream(body)) !== undefined;
  const taken = takeFromBudget.mock.calls.length;
  expect({ isRecovered, taken, released: release.mock.calls.length }).toEqual(expected);
});
