/**
 * Stand-in of a model engine: an HTTP server that runs the simulated scheduler in real time.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response';
import * as z from 'zod';
import { ChangeSignal } from './ChangeSignal';
import {
  ChatFormat,
  TextFormat,
  type CompletionFormat,
  type CompletionRequest,
} from './engine/CompletionFormat';
import { EngineGeneration, type GenerationView } from './engine/EngineGeneration';
import { EngineScheduler, type EngineStep } from './engine/EngineScheduler';
import { GenerationStore } from './engine/GenerationStore';
import type { EngineOptions } from './engine/options';
import { OrderProcessor, orderRequestSchema, type ReceivedOrder } from './engine/OrderProcessor';
import { getOutputText } from './engine/outputTokens';
import { countPromptTokens, hashPromptBlocks } from './engine/promptBlocks';
import { streamGeneration } from './engine/streamGeneration';
import {
  parseControlBody,
  registerStandIn,
  StandIn,
  type StandInApp,
  type StandInContext,
  type StandInOptions,
} from './StandIn';

/** @public */
export interface ModelEngineOptions extends StandInOptions, Partial<EngineOptions> {
  /** Time for which an ended generation can still be read. */
  readonly retentionMs?: number;
  /** Whether orders with a stale fencing token are rejected. */
  readonly checksFence?: boolean;
  /** Duration of an order that loads a model or an adapter. */
  readonly loadMs?: number;
}

const DEFAULTS = { retentionMs: 60_000, checksFence: true, loadMs: 1_000 } as const;

/**
 * Longest delay against the step schedule that the engine catches up on. Delay beyond it, as after
 * a pause of the process, is lost.
 */
const MAX_CATCH_UP_MS = 200;

const MS_PER_SECOND = 1_000;

let generatedIds = 0;

function createGenerationId(): string {
  generatedIds += 1;
  return `engine-${generatedIds}`;
}

/** @public */
export class ModelEngine extends StandIn {
  static override readonly type = 'model-engine';

  static async start(options: ModelEngineOptions = {}): Promise<ModelEngine> {
    const engine = new ModelEngine(options);
    await engine.listen(options.port);
    void engine.runSteps();
    return engine;
  }

  private readonly scheduler: EngineScheduler;

  private readonly store: GenerationStore;

  private readonly orderProcessor: OrderProcessor;

  private readonly submitted = new ChangeSignal();

  private readonly hangChanged = new ChangeSignal();

  private isHung = false;

  private constructor(options: ModelEngineOptions) {
    super();
    const { retentionMs, checksFence, loadMs } = { ...DEFAULTS, ...options };
    this.scheduler = new EngineScheduler(options);
    this.store = new GenerationStore(retentionMs);
    this.orderProcessor = new OrderProcessor(this.scheduler, { checksFence, loadMs });
  }

  /** Running generations, and ended ones that are still retained. */
  get generations(): ReadonlyArray<GenerationView> {
    return this.store.list().map(({ view }) => view);
  }

  get orders(): ReadonlyArray<ReceivedOrder> {
    return this.orderProcessor.received;
  }

  setLeaving(isLeaving: boolean): void {
    this.scheduler.setLeaving(isLeaving, performance.now());
  }

  setSpeed(speedFactor: number): void {
    this.scheduler.setSpeed(speedFactor);
  }

  /** While hung, the engine accepts connections but neither generates nor responds. */
  setHung(isHung: boolean): void {
    this.isHung = isHung;
    this.hangChanged.notify();
  }

  setRetention(retentionMs: number): void {
    this.store.setRetention(retentionMs);
  }

  setReportLag(lagMs: number): void {
    this.scheduler.setReportLag(lagMs);
  }

  protected mount(app: StandInApp): void {
    app.use('/v1/*', async (_context, next) => {
      await this.waitWhileHung();
      await next();
    });
    [new ChatFormat(), new TextFormat()].forEach((format) =>
      app.post(format.path, async (context) => this.complete(context, format)),
    );
    app.get('/v1/generations/:id', async (context) => this.resume(context));
    app.delete('/v1/generations/:id', (context) => this.cancel(context));
    app.get('/v1/load', (context) => context.json(this.scheduler.getReport(performance.now())));
    app.get('/v1/cache/events', (context) => {
      const after = Number(context.req.query('after') ?? 0);
      return context.json({ events: this.scheduler.listCacheEvents(after, performance.now()) });
    });
    app.post('/v1/orders', async (context) => {
      const request = orderRequestSchema.parse(await context.req.json());
      const accepted = this.orderProcessor.submit(request, this.stopping.signal);
      return context.json({ accepted }, accepted ? 202 : 409);
    });
    app.onError((thrown, context) =>
      context.json(
        { error: { message: thrown.message } },
        thrown instanceof z.ZodError || thrown instanceof RangeError ? 400 : 500,
      ),
    );
    this.mountControl(app);
  }

  private mountControl(app: StandInApp): void {
    const addControl = <S extends z.ZodType>(
      name: string,
      schema: S,
      apply: (value: z.infer<S>) => void,
    ): void => {
      app.post(`/control/${name}`, async (context) => {
        apply(await parseControlBody(context, schema));
        return context.json({});
      });
    };
    addControl('leaving', z.object({ leaving: z.boolean() }), (value) =>
      this.setLeaving(value.leaving),
    );
    addControl('speed', z.object({ factor: z.number().positive() }), (value) =>
      this.setSpeed(value.factor),
    );
    addControl('hang', z.object({ hung: z.boolean() }), (value) => this.setHung(value.hung));
    addControl('retention', z.object({ retentionMs: z.number().min(0) }), (value) =>
      this.setRetention(value.retentionMs),
    );
    addControl('report-lag', z.object({ lagMs: z.number().min(0) }), (value) =>
      this.setReportLag(value.lagMs),
    );
    addControl('kill', z.object({}), () => void this.stop());
    app.get('/control/generations', (context) => context.json(this.generations));
    app.get('/control/orders', (context) => context.json(this.orders));
    app.get('/control/load', (context) => context.json(this.scheduler.currentReport));
  }

  /** Runs the scheduler's steps while there is work; a step's tokens are emitted at its end. */
  private async runSteps(): Promise<void> {
    const { signal } = this.stopping;
    let stepAtMs = performance.now();
    while (!signal.aborted) {
      await this.waitWhileHung();
      const step = this.scheduler.step(performance.now());
      if (!step) {
        await this.submitted.wait(Infinity, signal);
        stepAtMs = performance.now();
        continue;
      }
      // Steps are scheduled by due time, so that coarse timers don't slow the engine down.
      stepAtMs = Math.max(stepAtMs + step.durationMs, performance.now() - MAX_CATCH_UP_MS);
      await sleep(Math.max(0, stepAtMs - performance.now()), undefined, { signal }).catch(() => {});
      await this.waitWhileHung();
      if (!signal.aborted) this.applyStep(step);
    }
  }

  private applyStep({ tokens, preempted }: EngineStep): void {
    const nowMs = performance.now();
    preempted.forEach((id) => this.store.find(id, nowMs)?.recordPreemption());
    tokens.forEach(({ generationId, finishReason }) => {
      const generation = this.store.find(generationId, nowMs);
      if (!generation || generation.endReason) return;
      generation.addToken();
      if (finishReason) generation.end(finishReason, nowMs);
    });
  }

  private async waitWhileHung(): Promise<void> {
    while (this.isHung && !this.stopping.signal.aborted) {
      await this.hangChanged.wait(Infinity, this.stopping.signal);
    }
  }

  private async complete(context: StandInContext, format: CompletionFormat): Promise<Response> {
    const request = format.parse(await context.req.json());
    if (!this.scheduler.currentReport.models.includes(request.model)) {
      return context.json({ error: { message: `unknown model ${request.model}` } }, 404);
    }
    const id = context.req.header('x-request-id') ?? createGenerationId();
    if (this.store.find(id, performance.now())) {
      return context.json({ error: { message: 'the generation exists already' } }, 409);
    }
    const generation = this.startGeneration(id, request, format);
    return request.isStreamed
      ? this.stream(context, generation, 0)
      : this.createBufferedResponse(context, generation);
  }

  private startGeneration(
    id: string,
    request: CompletionRequest,
    format: CompletionFormat,
  ): EngineGeneration {
    const nowMs = performance.now();
    const { model, priority, prompt, maxOutputTokens, outputTokens } = request;
    const promptTokens = countPromptTokens(prompt, this.scheduler.options);
    const promptBlocks = hashPromptBlocks(prompt, this.scheduler.options);
    this.scheduler.submit(
      {
        generationId: id,
        model,
        priority,
        promptTokens,
        promptBlocks,
        maxOutputTokens,
        outputTokens,
      },
      nowMs,
    );
    const createdAtSeconds = Math.floor(Date.now() / MS_PER_SECOND);
    const startedWhileLeaving = this.scheduler.currentReport.leaving;
    const generation = new EngineGeneration({ generationId: id, model, createdAtSeconds }, format, {
      priority,
      promptTokens,
      startedWhileLeaving,
    });
    this.store.add(generation, nowMs);
    this.submitted.notify();
    return generation;
  }

  private async stream(
    context: StandInContext,
    generation: EngineGeneration,
    fromPosition: number,
  ): Promise<Response> {
    await streamGeneration(generation, fromPosition, context.env.outgoing, this.stopping.signal);
    return RESPONSE_ALREADY_SENT;
  }

  private async createBufferedResponse(
    context: StandInContext,
    generation: EngineGeneration,
  ): Promise<Response> {
    const { metadata, format, promptTokens } = generation;
    await generation.waitForEnd(this.stopping.signal);
    const outputTokens = generation.emittedTokens;
    const text = getOutputText(metadata.generationId, outputTokens);
    const reason = generation.getFinishReason(outputTokens - 1);
    if (!reason) return context.json({ error: { message: 'the generation was cancelled' } }, 500);
    const body = format.formatCompletion(metadata, text, reason, { promptTokens, outputTokens });
    return context.body(body, 200, {
      'content-type': 'application/json',
      'x-request-id': metadata.generationId,
    });
  }

  private async resume(context: StandInContext): Promise<Response> {
    const generation = this.find(context);
    if (!generation) return context.json({ error: { message: 'unknown generation' } }, 404);
    const lastEventId = context.req.header('last-event-id');
    const fromPosition = lastEventId === undefined ? 0 : Number(lastEventId) + 1;
    if (!Number.isInteger(fromPosition) || fromPosition > generation.emittedTokens) {
      return context.json({ error: { message: 'unknown position' } }, 416);
    }
    return this.stream(context, generation, fromPosition);
  }

  private cancel(context: StandInContext): Response {
    const generation = this.find(context);
    if (!generation) return context.json({ error: { message: 'unknown generation' } }, 404);
    const ifMatch = context.req.header('if-match');
    if (ifMatch === undefined) {
      return context.json({ error: { message: 'the If-Match header is required' } }, 428);
    }
    if (ifMatch !== generation.attachment) {
      return context.json({ error: { message: 'a newer reader is attached' } }, 412);
    }
    const nowMs = performance.now();
    const wasRunning = this.scheduler.cancel(generation.metadata.generationId, nowMs);
    if (wasRunning || !generation.endReason) generation.end('cancelled', nowMs);
    return context.body(null, 204);
  }

  private find(context: StandInContext): EngineGeneration | undefined {
    return this.store.find(context.req.param('id') ?? '', performance.now());
  }
}

registerStandIn(ModelEngine);
