/**
 * A minimal model engine that injects faults at chosen positions of its next generations.
 */
import { once } from 'node:events';
import type { ServerResponse } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response';
import { resetConnection, StandIn, type StandInApp, type StandInContext } from '../stand-ins';
import { ChangeSignal } from '../stand-ins/ChangeSignal';
import { formatEvent } from '../src/wire';

/** Fault that the engine injects at a position. */
export type EngineFault = 'break' | 'skip' | 'repeat' | 'hang' | 'die' | 'garble';

/** @internal */
export interface GenerationPlan {
  readonly tokens: number;
  readonly faults?: Readonly<Record<number, EngineFault>>;
  readonly tokenDelayMs?: number;
  /** Length of each token's text. */
  readonly tokenBytes?: number;
}

class Attachment {
  private nextPosition: number;

  constructor(
    readonly number: number,
    from: number,
  ) {
    this.nextPosition = from;
  }

  get next(): number {
    return this.nextPosition;
  }

  advance(): void {
    this.nextPosition += 1;
  }
}

/** @internal */
export class FakeGeneration {
  readonly changed = new ChangeSignal();

  private attachmentCount = 0;

  private producedCount = 0;

  private wasCancelled = false;

  constructor(
    readonly plan: GenerationPlan,
    readonly body: Readonly<Record<string, unknown>>,
  ) {}

  get attachments(): number {
    return this.attachmentCount;
  }

  get produced(): number {
    return this.producedCount;
  }

  get isCancelled(): boolean {
    return this.wasCancelled;
  }

  get isOver(): boolean {
    return this.wasCancelled || this.producedCount === this.plan.tokens;
  }

  attach(from: number): Attachment {
    this.attachmentCount += 1;
    return new Attachment(this.attachmentCount, from);
  }

  produce(): void {
    this.producedCount += 1;
    this.changed.notify();
  }

  cancel(): void {
    this.wasCancelled = true;
    this.changed.notify();
  }
}

const NO_TIMEOUT_MS = Infinity;

/** @internal */
export class FaultyEngine extends StandIn {
  static override readonly type = 'faulty-engine';

  /**
   * Each generation uses the next plan; the last plan is reused. Engines may share a list of plans.
   */
  static async start(plans: GenerationPlan[]): Promise<FaultyEngine> {
    const engine = new FaultyEngine(plans);
    await engine.listen();
    return engine;
  }

  readonly generations = new Map<string, FakeGeneration>();

  /** Status of each response to a conditional cancel. */
  readonly cancelStatuses: number[] = [];

  private readonly released = new ChangeSignal();

  private constructor(private readonly plans: GenerationPlan[]) {
    super();
  }

  get firstGeneration(): FakeGeneration | undefined {
    return [...this.generations.values()][0];
  }

  /** Continues the generations that hang. */
  release(): void {
    this.released.notify();
  }

  protected mount(app: StandInApp): void {
    const start = async (context: StandInContext): Promise<Response> => {
      const generation = new FakeGeneration(this.takePlan(), await context.req.json());
      this.generations.set(context.req.header('x-request-id') ?? '', generation);
      void this.produce(generation);
      return this.attach(context, generation, 0);
    };
    app.post('/v1/chat/completions', start);
    app.post('/v1/completions', start);
    app.get('/v1/generations/:id', async (context) => {
      const generation = this.generations.get(context.req.param('id'));
      if (!generation) return context.json({ error: 'unknown' }, 404);
      const lastEventId = context.req.header('last-event-id');
      const from = lastEventId === undefined ? 0 : Number(lastEventId) + 1;
      if (from > generation.produced) return context.json({ error: 'position' }, 416);
      return this.attach(context, generation, from);
    });
    app.delete('/v1/generations/:id', (context) => {
      const generation = this.generations.get(context.req.param('id'));
      if (!generation) return context.body(null, 404);
      const newest = `"${generation.attachments}"`;
      const status = context.req.header('if-match') === newest ? 204 : 412;
      this.cancelStatuses.push(status);
      if (status === 204) generation.cancel();
      return context.body(null, status);
    });
  }

  private takePlan(): GenerationPlan {
    const [next = { tokens: 1 }] = this.plans;
    if (this.plans.length > 1) this.plans.shift();
    return next;
  }

  private async produce(generation: FakeGeneration): Promise<void> {
    const { tokens, faults, tokenDelayMs } = generation.plan;
    for (let position = 0; position < tokens && !generation.isCancelled; position++) {
      if (tokenDelayMs) await sleep(tokenDelayMs);
      if (faults?.[position] === 'hang') {
        await this.released.wait(NO_TIMEOUT_MS, this.stopping.signal);
      }
      if (faults?.[position] === 'die') await this.stop();
      generation.produce();
    }
  }

  private async attach(
    context: StandInContext,
    generation: FakeGeneration,
    from: number,
  ): Promise<Response> {
    const attachment = generation.attach(from);
    const { outgoing } = context.env;
    outgoing.writeHead(200, {
      'content-type': 'text/event-stream',
      etag: `"${attachment.number}"`,
    });
    outgoing.flushHeaders();
    void this.send(generation, attachment, outgoing);
    return RESPONSE_ALREADY_SENT;
  }

  private async send(
    generation: FakeGeneration,
    attachment: Attachment,
    outgoing: ServerResponse,
  ): Promise<void> {
    const closed = new AbortController();
    outgoing.once('close', () => closed.abort());
    while (!closed.signal.aborted) {
      if (attachment.next < generation.produced) {
        await this.sendToken(generation, attachment, outgoing, closed.signal);
      } else if (generation.isOver) {
        outgoing.end(formatEvent({ id: String(attachment.next), data: '[DONE]' }));
        return;
      } else await generation.changed.wait(NO_TIMEOUT_MS, closed.signal);
    }
  }

  private async sendToken(
    { plan }: FakeGeneration,
    attachment: Attachment,
    outgoing: ServerResponse,
    closed: AbortSignal,
  ): Promise<void> {
    const position = attachment.next;
    // Connection faults are injected only on the first attachment, so that a reconnection can
    // succeed.
    const fault = attachment.number === 1 ? plan.faults?.[position] : undefined;
    const isLast = position === plan.tokens - 1;
    const content = `t${position}`.padEnd(plan.tokenBytes ?? 0, '.');
    const choice = { index: 0, delta: { content }, finish_reason: isLast ? 'stop' : null };
    const chunk = { id: 'c', object: 'chat.completion.chunk', choices: [choice] };
    const data = fault === 'garble' ? '{"choices":' : JSON.stringify(chunk);
    const text = formatEvent({ id: String(position), data });
    attachment.advance();
    if (fault === 'break') resetConnection(outgoing);
    else if (fault !== 'skip' && !outgoing.write(fault === 'repeat' ? text + text : text)) {
      await once(outgoing, 'drain', { signal: closed }).catch(() => {});
    }
  }
}
