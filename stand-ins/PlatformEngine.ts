/**
 * Stand-in of an engine, or of an instance of a service, as the platform's callers and nodes speak
 * with it: instance check, sheds, streams of numbered events, copies of runs and their continuation.
 */
import { resetConnection, StandIn, type StandInApp, type StandInContext } from './StandIn';

/** A request as it reached the engine. @public */
export interface ReceivedRequest {
  readonly requestId: string;
  readonly method: string;
  readonly target: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
}

/** @public */
export type EngineBehaviour =
  'answer' | 'shed' | 'fail' | 'reset' | 'silent' | 'crossed' | 'unsigned';

/** @public */
export interface PlatformEngineOptions {
  readonly instanceId: string;
  readonly events?: number;
  readonly eventIntervalMs?: number;
  /** Time that a call takes. */
  readonly callMs?: number;
}

const SEAL = 'X-Bramleyvane-Server-Seal';
const REQUEST_ID = 'X-Bramleyvane-Request-Id';

interface Run {
  made: number;
  isStopped: boolean;
  readonly cut: () => void;
}

/** Tells another engine that it has the memory; one that is gone is left out. */
async function sendCopy(address: string, handle: string): Promise<void> {
  await fetch(`http://${address}/control/copies`, { method: 'POST', body: handle }).catch(() => {});
}

/** @public */
export class PlatformEngine extends StandIn {
  static override readonly type = 'platform-engine';

  behaviour: EngineBehaviour = 'answer';

  receivedRequests: ReadonlyArray<ReceivedRequest> = [];

  /** Requests that ran. */
  executedRequestIds: ReadonlyArray<string> = [];

  /** Copies that other engines sent, by the handle of the request. */
  readonly copies = new Set<string>();

  copiesToRefuse = 0;

  private readonly running = new Map<string, Run>();

  private constructor(private readonly options: PlatformEngineOptions) {
    super();
  }

  static async start(options: PlatformEngineOptions): Promise<PlatformEngine> {
    const engine = new PlatformEngine(options);
    await engine.listen();
    return engine;
  }

  get address(): string {
    return this.url.replace('http://', '');
  }

  /** Entry in the store. */
  createEntry(service: string, changes: Readonly<Record<string, unknown>> = {}): unknown {
    return {
      service,
      address: this.address,
      zone: 'brisbane',
      slots: 4,
      state: 'ready',
      coldRemainingMs: 0,
      born: 1,
      ...changes,
    };
  }

  /** Stops all streams without closing them, as the loss of the path to the engine would. */
  goSilent(): void {
    this.behaviour = 'silent';
  }

  /** Ends all streams as the death of the process would. */
  crash(): void {
    this.behaviour = 'reset';
    this.running.forEach(({ cut }) => cut());
  }

  protected override mount(app: StandInApp): void {
    app.post('/api/kv-move', async (context) => this.copy(context));
    app.post('/control/copies', async (context) => {
      this.copies.add(await context.req.text());
      return context.body(null, 204);
    });
    app.all('*', async (context) => this.serve(context));
  }

  private async serve(context: StandInContext): Promise<Response> {
    const headers = context.req.header();
    const requestId = headers['x-bramleyvane-request-id'] ?? '';
    const { method, url = '' } = context.env.incoming;
    const arrival = {
      requestId,
      method: method ?? '',
      target: url,
      headers,
      body: await context.req.text(),
    };
    this.receivedRequests = [...this.receivedRequests, arrival];
    if (headers['x-bramleyvane-expect-instance'] !== this.options.instanceId) {
      return context.body(null, 421, { 'X-Bramleyvane-Instance-Id': this.options.instanceId });
    }
    if (this.behaviour === 'shed') {
      return context.body(null, 503, { 'X-Bramleyvane-Not-Executed': '1' });
    }
    if (this.behaviour === 'reset') resetConnection(context.env.incoming);
    if (this.behaviour === 'reset' || this.behaviour === 'silent') return new Promise(() => {});
    this.executedRequestIds = [...this.executedRequestIds, requestId];
    const answered = this.behaviour === 'crossed' ? 'another-request' : requestId;
    const head: Record<string, string> = { [REQUEST_ID]: answered };
    if (this.behaviour !== 'unsigned') head[SEAL] = `seal-${this.options.instanceId}`;
    if (this.behaviour === 'fail') return context.body('failed', 500, head);
    if (this.options.callMs !== undefined) {
      await new Promise((resolve) => {
        setTimeout(resolve, this.options.callMs);
      });
    }
    if (this.options.events === undefined) return context.body(`answer to ${requestId}`, 200, head);
    return this.stream(context, requestId, head);
  }

  private stream(
    context: StandInContext,
    requestId: string,
    head: Readonly<Record<string, string>>,
  ): Response {
    const headers = context.req.header();
    const from = headers['kv-from']?.split('/')[1];
    if (from !== undefined && !this.copies.delete(from)) {
      return context.body(null, 503, { 'X-Bramleyvane-Not-Executed': '1' });
    }
    const { events = 0, eventIntervalMs = 5 } = this.options;
    const { incoming } = context.env;
    const run: Run = {
      made: Number(headers['last-event-id'] ?? 0),
      isStopped: false,
      cut: () => {
        resetConnection(incoming);
      },
    };
    this.running.set(requestId, run);
    const holder = headers['x-bramleyvane-kv-backup'];
    if (holder !== undefined) void sendCopy(holder, requestId);
    const body = new ReadableStream<Uint8Array>({
      start: async (controller) => {
        while (run.made < events && !run.isStopped && !incoming.socket.destroyed) {
          await new Promise((resolve) => {
            setTimeout(resolve, eventIntervalMs);
          });
          if (run.isStopped) break;
          if (this.behaviour === 'silent') await new Promise(() => {});
          run.made += 1;
          controller.enqueue(Buffer.from(`id: ${run.made}\ndata: token ${run.made}\n\n`));
        }
        this.running.delete(requestId);
        if (run.made >= events) controller.close();
        else run.cut();
      },
    });
    return context.body(body, 200, { ...head, 'Content-Type': 'text/event-stream' });
  }

  private async copy(context: StandInContext): Promise<Response> {
    const order: { id: string; to: string; final: boolean } = await context.req.json();
    const run = this.running.get(order.id);
    if (!run) return context.body(null, 404);
    if (this.copiesToRefuse > 0) {
      this.copiesToRefuse -= 1;
      return context.body(null, 503);
    }
    if (order.final) run.isStopped = true;
    const handle = `${order.id}-copy`;
    await sendCopy(order.to, handle);
    return context.json({ handle, created: run.made });
  }
}
