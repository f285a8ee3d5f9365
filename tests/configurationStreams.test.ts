/**
 * Tests running streams at the moment when a new configuration changes or removes what they were
 * admitted by.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { Deployment } from '../src/services';
import type { PlatformEngine } from '../stand-ins/PlatformEngine';
import {
  callFront,
  createStoreConfiguration,
  FrontFixture,
  GENERATION_HEADERS,
} from './FrontFixture';
import { waitUntil } from './waitUntil';

const EVENTS = 150;
const WHOLE_STREAM = Array.from(
  { length: EVENTS },
  (_, index) => `id: ${index + 1}\ndata: token ${index + 1}\n\n`,
).join('');

type Fields = Readonly<Record<string, unknown>>;

function createConfiguration(backups: boolean, version: number, changes: Fields = {}): Fields {
  const base = createStoreConfiguration();
  const routes = (base.routes as ReadonlyArray<Fields>).map((route) => ({
    ...route,
    timeoutMs: 30_000,
  }));
  const engine = { kvCapacity: 30_000, stride: 4, moves: true, backups };
  const services = [
    { name: 'desk', maxConnections: 40 },
    { name: 'writers', maxConnections: 40, engine },
  ];
  return { ...base, version, routes, services, ...changes };
}

function changeRoutes(changes: Fields): Fields {
  const { routes } = createConfiguration(false, 0);
  return { routes: (routes as ReadonlyArray<Fields>).map((route) => ({ ...route, ...changes })) };
}

const DESK = { name: 'desk', maxConnections: 40 };
const PLAIN_ENGINE = { kvCapacity: 30_000, stride: 4, moves: false, backups: false };

const CHANGES: ReadonlyArray<readonly [string, Fields]> = [
  ['all routes are removed', { routes: [] }],
  ['the routes move to another service', changeRoutes({ service: 'desk' })],
  ['the routes get a short time limit', changeRoutes({ timeoutMs: 50 })],
  ['the routes may no longer be resumed', changeRoutes({ streamResume: false, maxAttempts: 1 })],
  ['the service is removed', { routes: [], services: [DESK] }],
  [
    'the service can no longer move or back up',
    { services: [DESK, { name: 'writers', maxConnections: 40, engine: PLAIN_ENGINE }] },
  ],
  ['the key is removed', { tenants: [] }],
];

type Disturbance = 'none' | 'silence' | 'crash';

interface Variant {
  readonly route: 'report' | 'label';
  readonly backups: boolean;
  readonly disturbance: Disturbance;
}

const VARIANTS: ReadonlyArray<Variant> = (['none', 'silence', 'crash'] as const)
  .flatMap((disturbance) => [
    { route: 'report', backups: false, disturbance } as const,
    { route: 'report', backups: true, disturbance } as const,
    { route: 'label', backups: false, disturbance } as const,
    { route: 'label', backups: true, disturbance } as const,
  ])
  // Without a backup and without a new run, a crash ends a stream whatever the configuration.
  .filter(
    ({ route, backups, disturbance }) => disturbance !== 'crash' || backups || route === 'label',
  );

function disturb(engine: PlatformEngine, disturbance: Disturbance): void {
  if (disturbance === 'silence') engine.goSilentFor(1_500);
  if (disturbance === 'crash') engine.crash();
}

/** Changes the configuration under a running stream; returns what the caller has received. */
async function playChange(
  fixture: FrontFixture,
  { route, backups, disturbance }: Variant,
  changes: Fields,
): Promise<string> {
  fixture.store.put('op/config', createConfiguration(backups, 5));
  const options = { events: EVENTS, eventIntervalMs: 10 };
  const engines = [
    await fixture.addEngine('writers', { instanceId: 'i-1', ...options }),
    await fixture.addEngine('writers', { instanceId: 'i-2', ...options }),
  ];
  const node = await fixture.addReadyNode(2);
  const headers = { ...GENERATION_HEADERS, 'x-bramleyvane-deadline-ms': '30000' };
  const answer = callFront(node, `/${route}/a`, { method: 'POST', headers });
  answer.catch(() => {});
  const primary = await waitUntil('the start of the run', () =>
    engines.find(({ runningCount }) => runningCount > 0),
  );
  await sleep(100);
  fixture.store.put('op/config', createConfiguration(backups, 9, changes));
  const deployment = node.kernel.get(Deployment);
  await waitUntil('the change', () => deployment.configuration?.version === 9);
  expect(primary.runningCount).toBe(1);
  disturb(primary, disturbance);
  try {
    return (await answer).text;
  } catch (thrown) {
    return `broken off: ${String(thrown)}`;
  }
}

// Guards against a running stream that is cut, or can't be continued, because a new configuration
// changes or removes its route, its service or its key.
test.each(CHANGES)('a running stream is whole when %s', async (_name, changes) => {
  const results = await Promise.all(
    VARIANTS.map(async (variant) => {
      const fixture = await FrontFixture.start();
      try {
        return { variant, text: await playChange(fixture, variant, changes) };
      } finally {
        await fixture.stop();
      }
    }),
  );
  expect(results).toEqual(VARIANTS.map((variant) => ({ variant, text: WHOLE_STREAM })));
});
