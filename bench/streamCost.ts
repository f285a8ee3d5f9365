/**
 * Measures what a node adds to a stream, compared with direct calls to the engine in the same run.
 *
 * The engine, the node and the callers are separate processes, so that the CPU time and memory of
 * the node can be measured separately. Prints one line for each measurement.
 */
import { fork, type ChildProcess } from 'node:child_process';
import { once, setMaxListeners } from 'node:events';
import { Agent, request } from 'undici';
import { ModelEngine, type ModelEngineOptions } from '../stand-ins';
import { ServingFixture } from '../tests/ServingFixture';
import { parseEventStream } from '../src/wire';
import { formatFittedLine } from './fitLine';
import { summarize } from './summarize';

const BENCH_OPTIONS = {
  latencyStreams: 200,
  latencyConcurrency: 8,
  latencyTokens: 50,
  cpuStreams: 64,
  cpuTokens: 500,
  openStreams: [0, 100, 200, 400],
  /** Tokens that each open stream has received before memory is measured. */
  tokensBeforeReading: 2,
  outputTokensOfOpenStreams: 20_000,
  settleMs: 1_500,
} as const;

const BYTES_PER_KB = 1_024;
const MICROSECONDS_PER_MS = 1_000;

interface Usage {
  readonly cpuMicroseconds: number;
  readonly rssBytes: number;
  readonly heapBytes: number;
}

interface Target {
  readonly url: string;
  readonly headers: Readonly<Record<string, string>>;
}

interface StreamTimes {
  readonly firstTokenMs: number;
  readonly gapsMs: ReadonlyArray<number>;
}

const agent = new Agent({ pipelining: 1, headersTimeout: 0, bodyTimeout: 0 });
let requests = 0;

async function sleep(delayMs: number): Promise<void> {
  await new Promise((resolve) => {
    setTimeout(resolve, delayMs);
  });
}

async function runEngine(options: ModelEngineOptions): Promise<void> {
  const engine = await ModelEngine.start(options);
  process.send?.({ url: engine.url });
}

function readUsage(): Usage {
  globalThis.gc?.();
  const { user, system } = process.cpuUsage();
  const { rss, heapUsed, external } = process.memoryUsage();
  return { cpuMicroseconds: user + system, rssBytes: rss, heapBytes: heapUsed + external };
}

async function runNode(engineUrl: string): Promise<void> {
  const options = { resumeGraceMs: 50, idleTimeoutMs: 60_000 };
  const fixture = await ServingFixture.start({ kinds: [{ maxWaitMs: 60_000 }], options });
  fixture.listVm('engine-1', 'engine', engineUrl);
  const { url } = await fixture.startNode('entry-1');
  process.on('message', () => process.send?.(readUsage()));
  process.send?.({ url });
}

async function start(role: string, argument: string): Promise<[ChildProcess, string]> {
  const child = fork(__filename, [role, argument], { execArgv: ['--expose-gc'] });
  const [{ url }] = (await once(child, 'message')) as [{ readonly url: string }];
  return [child, url];
}

async function requestUsage(child: ChildProcess): Promise<Usage> {
  child.send('usage');
  const [usage] = (await once(child, 'message')) as [Usage];
  return usage;
}

/** Reads a stream, or its first `limit` events and then leaves it open until the signal aborts. */
async function readStream(
  { url, headers }: Target,
  outputTokens: number,
  limit = Infinity,
  signal?: AbortSignal,
): Promise<StreamTimes> {
  requests += 1;
  const startMs = performance.now();
  const { body, statusCode } = await request(`${url}/v1/chat/completions`, {
    dispatcher: agent,
    method: 'POST',
    headers: { ...headers, 'x-request-id': `bench-${requests}` },
    body: JSON.stringify({
      model: 'summary-1',
      stream: true,
      messages: [{ role: 'user', content: `Sum up audit ${requests}.` }],
      metadata: { output_tokens: outputTokens },
    }),
    signal,
  });
  // A refusal would otherwise be counted as a fast stream.
  if (statusCode !== 200) throw new Error(`${statusCode}: ${await body.text()}`);
  let lastMs = startMs;
  const delaysMs: number[] = [];
  for await (const { data } of parseEventStream(body.iterator({ destroyOnReturn: false }))) {
    if (data === '[DONE]') break;
    delaysMs.push(performance.now() - lastMs);
    lastMs = performance.now();
    if (delaysMs.length >= limit) break;
  }
  body.on('error', () => {});
  if (limit === Infinity) body.destroy();
  return { firstTokenMs: delaysMs[0] ?? NaN, gapsMs: delaysMs.slice(1) };
}

function print(name: string, values: object): void {
  process.stdout.write(`${JSON.stringify({ measure: name, ...values })}\n`);
}

/** Alternates direct and relayed streams, so that both run under the same load of the machine. */
async function measureLatency(direct: Target, relayed: Target): Promise<void> {
  const times: Readonly<Record<'direct' | 'relayed', StreamTimes[]>> = { direct: [], relayed: [] };
  const { latencyStreams, latencyConcurrency, latencyTokens } = BENCH_OPTIONS;
  const runWorker = async (): Promise<void> => {
    for (let index = 0; index < latencyStreams / latencyConcurrency; index++) {
      times.direct.push(await readStream(direct, latencyTokens));
      times.relayed.push(await readStream(relayed, latencyTokens));
    }
  };
  await Promise.all(Array.from({ length: latencyConcurrency }, runWorker));
  const first = {
    direct: summarize(times.direct.map(({ firstTokenMs }) => firstTokenMs)),
    relayed: summarize(times.relayed.map(({ firstTokenMs }) => firstTokenMs)),
  };
  const gap = {
    direct: summarize(times.direct.flatMap(({ gapsMs }) => gapsMs)),
    relayed: summarize(times.relayed.flatMap(({ gapsMs }) => gapsMs)),
  };
  print('first token in ms', first);
  print('time between tokens in ms', gap);
}

async function measureCpu(node: ChildProcess, relayed: Target): Promise<void> {
  const before = await requestUsage(node);
  const startMs = performance.now();
  const { cpuStreams, cpuTokens } = BENCH_OPTIONS;
  await Promise.all(Array.from({ length: cpuStreams }, async () => readStream(relayed, cpuTokens)));
  const elapsedMs = performance.now() - startMs;
  const after = await requestUsage(node);
  const tokens = cpuStreams * cpuTokens;
  const cpuMicroseconds = after.cpuMicroseconds - before.cpuMicroseconds;
  print('processor time of the node', {
    tokens,
    tokensPerSecond: Math.round((tokens / elapsedMs) * 1_000),
    microsecondsPerToken: cpuMicroseconds / tokens,
    shareOfCore: cpuMicroseconds / MICROSECONDS_PER_MS / elapsedMs,
  });
}

async function measureMemory(node: ChildProcess, relayed: Target): Promise<void> {
  const points: Array<readonly [number, Usage]> = [];
  const closing = new AbortController();
  setMaxListeners(0, closing.signal);
  let open = 0;
  for (const count of BENCH_OPTIONS.openStreams) {
    const { tokensBeforeReading, outputTokensOfOpenStreams, settleMs } = BENCH_OPTIONS;
    await Promise.all(
      Array.from({ length: count - open }, async () =>
        readStream(relayed, outputTokensOfOpenStreams, tokensBeforeReading, closing.signal),
      ),
    );
    open = count;
    await sleep(settleMs);
    const usage = await requestUsage(node);
    points.push([count, usage]);
  }
  const rss = points.map(([count, { rssBytes }]) => [count, rssBytes / BYTES_PER_KB] as const);
  const heap = points.map(([count, { heapBytes }]) => [count, heapBytes / BYTES_PER_KB] as const);
  process.stdout.write(`${formatFittedLine('open stream, resident memory', 'KB', rss)}\n`);
  process.stdout.write(`${formatFittedLine('open stream, heap and external', 'KB', heap)}\n`);
  closing.abort();
}

async function measure(): Promise<void> {
  const shared = { memoryTotalTokens: 50_000_000, maxBatch: 1_000, stepPerSequenceMs: 0 };
  const headers = { authorization: 'Bearer key-recup-audits' };
  const children: ChildProcess[] = [];
  const startPair = async (
    options: ModelEngineOptions,
  ): Promise<[ChildProcess, Target, Target]> => {
    const [engine, engineUrl] = await start('engine', JSON.stringify({ ...shared, ...options }));
    const [node, nodeUrl] = await start('node', engineUrl);
    children.push(engine, node);
    return [node, { url: engineUrl, headers: {} }, { url: nodeUrl, headers }];
  };
  try {
    const [node, direct, relayed] = await startPair({ stepBaseMs: 12 });
    await measureLatency(direct, relayed);
    await measureCpu(node, relayed);
    const [idleNode, , slow] = await startPair({ stepBaseMs: 250 });
    await measureMemory(idleNode, slow);
  } finally {
    children.forEach((child) => child.kill());
    await agent.destroy();
  }
}

async function main(): Promise<void> {
  const [role, argument = ''] = process.argv.slice(2);
  if (role === 'engine') await runEngine(JSON.parse(argument) as ModelEngineOptions);
  else if (role === 'node') await runNode(argument);
  else await measure();
}

void main();
