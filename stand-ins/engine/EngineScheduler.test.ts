import fc from 'fast-check';
import { EngineScheduler, getOutputToken, type EmittedToken, type EngineOptions } from '.';

interface Job {
  readonly priority: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
}

interface Trace {
  readonly tokens: ReadonlyArray<EmittedToken>;
  readonly preempted: ReadonlyArray<string>;
  readonly maxUsedTokens: number;
}

function submit(engine: EngineScheduler, name: string, job: Partial<Job>, nowMs = 0): void {
  const request = { priority: 1, promptTokens: 10, outputTokens: 5, ...job };
  const common = { model: 'summary-1', promptBlocks: [], maxOutputTokens: 1_000 };
  engine.submit({ generationId: name, ...common, ...request }, nowMs);
}

/** Steps the engine in virtual time until all generations have ended. */
function runToEnd(engine: EngineScheduler): Trace {
  const tokens: EmittedToken[] = [];
  const preempted: string[] = [];
  let maxUsedTokens = 0;
  let nowMs = 0;
  for (let step = engine.step(nowMs); step; step = engine.step(nowMs)) {
    tokens.push(...step.tokens);
    preempted.push(...step.preempted);
    maxUsedTokens = Math.max(maxUsedTokens, engine.currentReport.memoryUsedTokens);
    nowMs += step.durationMs;
  }
  return { tokens, preempted, maxUsedTokens };
}

const jobsArbitrary = fc.array(
  fc.record({
    priority: fc.integer({ min: 0, max: 3 }),
    promptTokens: fc.integer({ min: 1, max: 40 }),
    outputTokens: fc.integer({ min: 1, max: 55 }),
  }),
  { minLength: 1, maxLength: 12 },
);

// Guards against preemptions that repeat or lose a token, or after which a sequence never resumes.
test('emits every token once in order', () => {
  fc.assert(
    fc.property(jobsArbitrary, (jobs) => {
      const engine = new EngineScheduler({ memoryTotalTokens: 100, maxBatch: 8 });
      jobs.forEach((job, index) => submit(engine, `g${index}`, job));
      const { tokens, maxUsedTokens } = runToEnd(engine);
      expect(maxUsedTokens).toBeLessThanOrEqual(100);
      expect(engine.currentReport).toMatchObject({ memoryUsedTokens: 0, running: 0, waiting: 0 });
      jobs.forEach(({ outputTokens }, index) => {
        const own = tokens.filter(({ generationId }) => generationId === `g${index}`);
        const positions = Array.from({ length: outputTokens }, (_, position) => position);
        expect(own.map(({ position }) => position)).toEqual(positions);
        const texts = positions.map((position) => getOutputToken(`g${index}`, position));
        expect(own.map(({ text }) => text)).toEqual(texts);
        expect(own.at(-1)?.finishReason).toBe('stop');
      });
    }),
    { seed: 2, numRuns: 200 },
  );
});

// Guards against a low-priority label that preempts a high-priority report.
test('preempts the lowest priority first', () => {
  const engine = new EngineScheduler({ memoryTotalTokens: 60 });
  submit(engine, 'low', { priority: 3, promptTokens: 20, outputTokens: 30 });
  submit(engine, 'high', { priority: 0, promptTokens: 20, outputTokens: 30 });
  const { preempted, tokens } = runToEnd(engine);
  expect(preempted).toContain('low');
  expect(preempted).not.toContain('high');
  expect(tokens.filter(({ finishReason }) => finishReason)).toHaveLength(2);
});

// Guards against priorities that apply to preemption but not to admission.
test('admits by priority then arrival', () => {
  const engine = new EngineScheduler({ maxBatch: 1 });
  ['late', 'first', 'second'].forEach((name) =>
    submit(engine, name, { priority: name === 'late' ? 2 : 1, outputTokens: 1 }),
  );
  const order = runToEnd(engine).tokens.map(({ generationId }) => generationId);
  expect(order).toEqual(['first', 'second', 'late']);
});

// Guards against a generation that fills the memory and blocks the engine forever.
test('ends a generation at full memory', () => {
  const engine = new EngineScheduler({ memoryTotalTokens: 50 });
  submit(engine, 'g', { promptTokens: 40, outputTokens: 500 });
  const { tokens } = runToEnd(engine);
  expect(tokens).toHaveLength(10);
  expect(tokens.at(-1)?.finishReason).toBe('length');
});

test('ends a generation at maxOutputTokens', () => {
  const engine = new EngineScheduler();
  submit(engine, 'g', { outputTokens: 2_000 });
  const { tokens } = runToEnd(engine);
  expect(tokens).toHaveLength(1_000);
  expect(tokens.at(-1)?.finishReason).toBe('length');
});

// Guards against bench figures that can't be reproduced.
test('produces the same steps from the same seed', () => {
  const run = (seed: number): Trace => {
    const engine = new EngineScheduler({ seed, memoryTotalTokens: 2_000 });
    ['a', 'b', 'c'].forEach((name) => submit(engine, name, { outputTokens: undefined }));
    return runToEnd(engine);
  };
  expect(run(7)).toEqual(run(7));
  expect(run(7).tokens.length).not.toBe(run(8).tokens.length);
});

// Guards against a step duration that ignores the batch size or the speed of the engine.
test('takes longer with a larger batch and at half speed', () => {
  const measure = (jobs: number, options: Partial<EngineOptions> = {}): number => {
    const engine = new EngineScheduler({ prefillMsPerToken: 0, ...options });
    Array.from({ length: jobs }, (_, index) => submit(engine, `g${index}`, {}));
    return engine.step(0)?.durationMs ?? 0;
  };
  expect(measure(10)).toBeGreaterThan(measure(1));
  expect(measure(1, { speedFactor: 0.5 })).toBeCloseTo(2 * measure(1));
});

// Guards against reports of the present state, which a real engine never gives.
test('reports with a lag', () => {
  const engine = new EngineScheduler({ reportLagMs: 500 });
  submit(engine, 'g', {}, 1_000);
  expect(engine.currentReport.waiting).toBe(1);
  expect(engine.getReport(1_499).waiting).toBe(0);
  expect(engine.getReport(1_500).waiting).toBe(1);
});

test('skips the prefill of cached prefixes', () => {
  const engine = new EngineScheduler({ prefillMsPerToken: 1 });
  const request = {
    model: 'summary-1',
    priority: 1,
    promptTokens: 128,
    promptBlocks: ['block-1', 'block-2'],
    maxOutputTokens: 1,
  };
  engine.submit({ ...request, generationId: 'cold' }, 0);
  const coldMs = engine.step(0)?.durationMs ?? 0;
  engine.submit({ ...request, generationId: 'warm' }, 0);
  const warmMs = engine.step(0)?.durationMs ?? 0;
  expect(coldMs - warmMs).toBeCloseTo(128);
});

// Guards against cache events that are complete and current, which readers could come to rely on.
test('publishes cache events with delay and gaps', () => {
  const engine = new EngineScheduler({
    cacheTotalTokens: 640,
    eventDropShare: 0.3,
    eventLagMs: 100,
  });
  Array.from({ length: 40 }, (_, index) => {
    const promptBlocks = [`block-${index}`];
    const request = { model: 'm', priority: 1, promptTokens: 64, promptBlocks, maxOutputTokens: 1 };
    engine.submit({ ...request, generationId: `g${index}` }, 0);
    return engine.step(0);
  });
  expect(engine.listCacheEvents(0, 99)).toEqual([]);
  const events = engine.listCacheEvents(0, 100);
  const numbers = events.map(({ number }) => number);
  expect(numbers).toEqual([...numbers].sort((a, b) => a - b));
  // Without drops there would be 40 stored and 30 evicted events.
  expect(numbers.length).toBeLessThan(70);
  expect(numbers.at(-1)).toBeGreaterThan(numbers.length);
  expect(new Set(events.map(({ type }) => type))).toEqual(new Set(['stored', 'evicted']));
});
