/**
 * Tests faults of nodes, links and engines while a caller reads a stream. Every test has its own
 * deployment; the tests run concurrently because a new deployment grants no limits during its first
 * lease period.
 */
import { getOutputToken } from '../stand-ins';
import { CallerStream } from './CallerStream';
import { createContract } from './contracts';
import type { DeployedNode } from './DeployedNode';
import { Deployment, type DeploymentOptions } from './Deployment';
import { waitUntil } from './waitUntil';

const TOKENS = 150;

const OPTIONS: DeploymentOptions = {
  engines: [{ stepBaseMs: 5, reportLagMs: 100 }],
  contracts: [createContract()],
};

/**
 * Engine speed factor that keeps a generation running for longer than any fault that a test
 * injects.
 */
const SLOW_SPEED = 0.01;

interface StartedStream {
  readonly stream: CallerStream;
  readonly reading: Promise<void>;
}

/** Starts a generation on node 1, waits for its first tokens and slows the engine down. */
async function startStream(deployment: Deployment, kind?: string): Promise<StartedStream> {
  const stream = new CallerStream();
  const reading = stream.start(deployment.getNode(1), TOKENS, kind);
  await waitUntil('the first tokens', () => stream.tokenCount >= 10);
  deployment.getEngine(1).setSpeed(SLOW_SPEED);
  return { stream, reading };
}

/**
 * Checks that every token arrived once and in order, all from the only generation that the engine
 * ran.
 */
function expectComplete(deployment: Deployment, stream: CallerStream): void {
  const { generations } = deployment.getEngine(1);
  expect(generations).toMatchObject([{ endReason: 'stop', emittedTokens: TOKENS }]);
  const { generationId } = generations[0]!;
  const expected = Array.from({ length: TOKENS }, (_, position) =>
    getOutputToken(generationId, position),
  );
  expect(stream.listTokens()).toEqual(expected);
  expect(stream.isComplete).toBe(true);
}

// Guards against a stream that is lost with its node, repeated or generated a second time.
test.concurrent.each([
  { fault: 'killed', apply: async (node: DeployedNode) => node.process.kill() },
  { fault: 'frozen', apply: async (node: DeployedNode) => node.process.freeze() },
  { fault: 'abandoned', apply: async () => {} },
])('resumes on another node when the first is $fault', async ({ apply }) =>
  Deployment.use(OPTIONS, async (deployment) => {
    const { stream, reading } = await startStream(deployment);
    await apply(deployment.getNode(1));
    stream.disconnect();
    await reading;
    deployment.getEngine(1).setSpeed(1);
    await stream.resume(deployment.getNode(2));
    expectComplete(deployment, stream);
  }),
);

// Guards against a node that is unfrozen and cancels a generation which another node has taken
// over.
test.concurrent('finishes although the first node is unfrozen', async () =>
  Deployment.use(OPTIONS, async (deployment) => {
    const { stream, reading } = await startStream(deployment, 'draft-summary');
    const node = deployment.getNode(1);
    node.process.freeze();
    stream.disconnect();
    await reading;
    const tokenCount = stream.tokenCount + 2;
    const resumed = stream.resume(deployment.getNode(2));
    await waitUntil('more tokens', () => stream.tokenCount >= tokenCount);
    node.process.unfreeze();
    await waitUntil('the late cancel', () =>
      node.hasLogged('decision', { clause: 'kindsOfWork[1].whenCallerLeaves' }),
    );
    deployment.getEngine(1).setSpeed(1);
    await resumed;
    expectComplete(deployment, stream);
  }),
);

// Guards against an engine that continues to generate after the caller has disconnected.
test.concurrent('cancels when the caller disconnects', async () =>
  Deployment.use(OPTIONS, async (deployment) => {
    const { stream } = await startStream(deployment, 'draft-summary');
    stream.disconnect();
    await waitUntil('the cancel', () => deployment.getEngine(1).generations[0]?.endReason);
    expect(deployment.getEngine(1).generations).toMatchObject([{ endReason: 'cancelled' }]);
  }),
);

// Guards against a broken connection that ends a stream although its engine is alive.
test.concurrent('continues when the link to the engine breaks', async () =>
  Deployment.use(OPTIONS, async (deployment) => {
    const { stream, reading } = await startStream(deployment);
    deployment.getLink('engine-1').setState('cut');
    deployment.getLink('engine-1').setState('open');
    deployment.getEngine(1).setSpeed(1);
    await reading;
    expectComplete(deployment, stream);
  }),
);

// Guards against a truncated stream that looks complete.
test.concurrent('reports that the engine was lost', async () =>
  Deployment.use(OPTIONS, async (deployment) => {
    const { stream, reading } = await startStream(deployment);
    await deployment.getEngine(1).stop();
    await reading;
    expect(stream.isComplete).toBe(false);
    const last = stream.events.at(-1);
    expect(last?.event).toBe('error');
    expect(JSON.parse(last?.data ?? '{}')).toMatchObject({ kind: 'engine-lost', run: 'run' });
  }),
);

// Guards against a shutdown that cuts off a stream.
test.concurrent('drains without cutting off a stream', async () =>
  Deployment.use(OPTIONS, async (deployment) => {
    const node = deployment.getNode(1);
    const { stream, reading } = await startStream(deployment);
    node.process.terminate();
    await waitUntil('the drain', () => node.hasLogged('drain started'));
    await expect(new CallerStream().start(node, 5)).rejects.toThrow(/draining/);
    deployment.getEngine(1).setSpeed(1);
    await reading;
    expectComplete(deployment, stream);
    expect(await node.process.waitForExit()).toBe(0);
  }),
);
