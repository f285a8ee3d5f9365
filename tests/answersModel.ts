/**
 * Random interleavings of requests with what may end their tasks, run on one node, and the outcomes
 * that their callers saw.
 */
import * as fc from 'fast-check';
import { setTimeout as sleep } from 'node:timers/promises';
import type { EndpointId } from '../src/core';
import { Deployment, RequestDialect, ServingMetrics } from '../src/services';
import { CallerConnection } from './CallerConnection';
import {
  createStoreConfiguration,
  GENERATION_HEADERS,
  type FrontFixture,
  type FrontNode,
} from './FrontFixture';
import { waitUntil } from './waitUntil';

/** Deadline of each request. */
const DEADLINE_MS = 400;

/** Time by which each request must have its outcome: its deadline, and half a second. */
const MAX_WAIT_MS = DEADLINE_MS + 500;

const TARGETS = ['/lookup/a', '/credit/a', '/report/a', '/label/a'] as const;

const CONFIGURATIONS = ['as it was', 'no routes', 'other service', 'short timeout'] as const;

const FAULTS = ['writeAnswerHeaders', 'readAnswer', 'countAttempt', 'countRefusal'] as const;

/** One step of an interleaving. */
type Step =
  | { readonly step: 'request'; readonly target: (typeof TARGETS)[number] }
  | { readonly step: 'half a body' }
  | { readonly step: 'close'; readonly caller: number }
  | { readonly step: 'configure'; readonly change: (typeof CONFIGURATIONS)[number] }
  | { readonly step: 'crash' | 'leave' | 'fail'; readonly engine: number }
  | { readonly step: 'throw'; readonly where: (typeof FAULTS)[number] }
  | { readonly step: 'wait'; readonly delayMs: number };

export type Interleaving = ReadonlyArray<Step>;

const request = fc.record({
  step: fc.constant('request' as const),
  target: fc.constantFrom(...TARGETS),
});

const anyStep: fc.Arbitrary<Step> = fc.oneof(
  { weight: 6, arbitrary: request },
  { weight: 1, arbitrary: fc.constant({ step: 'half a body' as const }) },
  {
    weight: 2,
    arbitrary: fc.record({ step: fc.constant('close' as const), caller: fc.nat(20) }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      step: fc.constant('configure' as const),
      change: fc.constantFrom(...CONFIGURATIONS),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      step: fc.constantFrom('crash' as const, 'leave' as const, 'fail' as const),
      engine: fc.nat(3),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      step: fc.constant('throw' as const),
      where: fc.constantFrom(...FAULTS),
    }),
  },
  {
    weight: 4,
    arbitrary: fc.record({ step: fc.constant('wait' as const), delayMs: fc.nat(60) }),
  },
);

export const interleavings = fc.array(anyStep, { minLength: 4, maxLength: 24 });

/** What one request came to, as its caller and the node's log saw it. */
export interface SeenOutcome {
  readonly requestId: string;
  readonly hasClosed: boolean;
  readonly answers: number;
  /** Lines of the log that tell how the request ended. */
  readonly endings: number;
}

interface SentRequest {
  readonly caller: CallerConnection;
  readonly requestId: string;
  hasClosed: boolean;
}

/** Runs interleavings one after the other on the same node. */
export class AnswersModel {
  private version = 10;

  private engines = 0;

  private sent: ReadonlyArray<SentRequest> = [];

  private constructor(
    private readonly fixture: FrontFixture,
    private readonly node: FrontNode,
  ) {}

  static async start(fixture: FrontFixture): Promise<AnswersModel> {
    fixture.store.put('op/config', createStoreConfiguration());
    return new AnswersModel(fixture, await fixture.addNode());
  }

  /** Runs the steps, and returns the outcomes once all requests must have one. */
  async run(steps: Interleaving): Promise<ReadonlyArray<SeenOutcome>> {
    this.sent = [];
    this.configure('as it was');
    await this.startEngines();
    for (const each of steps) await this.take(each);
    await this.waitForOutcomes();
    jest.restoreAllMocks();
    const outcomes = this.sent.map((sent) => this.describe(sent));
    this.sent.forEach(({ caller }) => caller.close());
    return outcomes;
  }

  /** Number of requests that the node had to end because their tasks had left them unanswered. */
  async countUnanswered(): Promise<number> {
    const { text } = await this.node.kernel.get(ServingMetrics).render();
    const values = [...text.matchAll(/^bramleyvane_unanswered_requests_total\{.*\} (\d+)$/gm)];
    return values.reduce((sum, [, value]) => sum + Number(value), 0);
  }

  private async startEngines(): Promise<void> {
    const former = this.fixture.engines.splice(0);
    await Promise.all(former.map(async (engine) => engine.stop()));
    Array.from({ length: this.engines }, (_, index) => `servers/i-${index}`).forEach((key) =>
      this.fixture.store.remove(key),
    );
    for (const service of ['desk', 'desk', 'writers', 'writers']) {
      const options = service === 'desk' ? { callMs: 40 } : { events: 20, eventIntervalMs: 5 };
      await this.fixture.addEngine(service, { instanceId: `i-${this.engines}`, ...options });
      this.engines += 1;
    }
    const deployment = this.node.kernel.get(Deployment);
    await waitUntil('the engines', () =>
      [1, 2, 3, 4].every((back) => deployment.find(`i-${this.engines - back}` as EndpointId)),
    );
  }

  private async take(step: Step): Promise<void> {
    if (step.step === 'wait') await sleep(step.delayMs);
    if (step.step === 'request') await this.send(step.target, 0);
    if (step.step === 'half a body') await this.send('/credit/a', 10);
    if (step.step === 'configure') this.configure(step.change);
    if (step.step === 'throw') this.throwOnce(step.where);
    if (step.step === 'close') this.close(step.caller);
    if (step.step === 'crash') await this.fixture.engines[step.engine]?.stop();
    if (step.step === 'fail') this.fail(step.engine);
    if (step.step === 'leave') this.leave(step.engine);
  }

  private async send(target: string, missingBytes: number): Promise<void> {
    const caller = await CallerConnection.open(this.node.settings.node.callerAddress);
    const requestId = caller.send(
      target,
      { ...GENERATION_HEADERS, 'x-bramleyvane-deadline-ms': String(DEADLINE_MS) },
      'body',
      'body'.length + missingBytes,
    );
    this.sent = [...this.sent, { caller, requestId, hasClosed: false }];
  }

  private close(index: number): void {
    const sent = this.sent[index % Math.max(1, this.sent.length)];
    if (!sent) return;
    sent.hasClosed = true;
    sent.caller.close();
  }

  private configure(change: (typeof CONFIGURATIONS)[number]): void {
    this.version += 1;
    const { routes } = createStoreConfiguration() as {
      readonly routes: ReadonlyArray<Readonly<Record<string, unknown>>>;
    };
    const changed = {
      'as it was': routes,
      'no routes': [],
      'other service': routes.map((route) => ({ ...route, service: 'other' })),
      'short timeout': routes.map((route) => ({ ...route, timeoutMs: 30 })),
    };
    const configuration = { version: this.version, routes: changed[change] };
    this.fixture.store.put('op/config', createStoreConfiguration(configuration));
  }

  private fail(index: number): void {
    const engine = this.fixture.engines[index];
    if (engine) engine.behaviour = 'fail';
  }

  private leave(index: number): void {
    const id = this.engines - this.fixture.engines.length + index;
    const service = index < 2 ? 'desk' : 'writers';
    const entry = this.fixture.engines[index]?.createEntry(service, { state: 'draining' });
    this.fixture.store.put(`servers/i-${id}`, entry);
  }

  private throwOnce(where: (typeof FAULTS)[number]): void {
    const { kernel } = this.node;
    const isInDialect = where === 'writeAnswerHeaders' || where === 'readAnswer';
    const target: object = kernel.get<object>(isInDialect ? RequestDialect : ServingMetrics);
    jest.spyOn(target, where as never).mockImplementationOnce(() => {
      throw new Error(`thrown in ${where}`);
    });
  }

  private async waitForOutcomes(): Promise<void> {
    const untilMs = performance.now() + MAX_WAIT_MS;
    while (performance.now() < untilMs) {
      const outcomes = this.sent.map((sent) => this.describe(sent));
      const isDone = ({ hasClosed, answers, endings }: SeenOutcome): boolean =>
        endings > 0 && (hasClosed || answers > 0);
      if (outcomes.every(isDone)) return;
      await sleep(10);
    }
  }

  private describe({ caller, requestId, hasClosed }: SentRequest): SeenOutcome {
    const answers = [...caller.received.matchAll(/HTTP\/1\.1 \d+ /g)].length;
    const endings = this.node.lines.filter(
      (line) => line.event === 'request' && line.requestId === requestId,
    ).length;
    return { requestId, hasClosed, answers, endings };
  }
}
