/**
 * Stand-in of a plain service: executes any call and counts the executions of each call id.
 *
 * The id is the header `x-run-id`, else the field `id` of a JSON body, else the query parameter
 * `id`.
 */
import * as z from 'zod';
import { ChangeSignal } from './ChangeSignal';
import {
  parseControlBody,
  registerStandIn,
  resetConnection,
  StandIn,
  type StandInApp,
  type StandInContext,
  type StandInOptions,
} from './StandIn';

/** Fault that is injected before or after a call is executed. */
const faultTypeSchema = z.enum(['none', 'reset', 'hang']);

/** @public */
export const serviceFaultsSchema = z
  .object({
    /** Duration of an execution. */
    latencyMs: z.number().min(0).default(0),
    beforeRun: faultTypeSchema.default('none'),
    /** `fail` responds with 500 although the call was executed. */
    afterRun: z.enum([...faultTypeSchema.options, 'fail']).default('none'),
    /** Number of calls after which the faults end; by default they apply until they are changed. */
    times: z.int().positive().optional(),
  })
  .readonly();
export type ServiceFaults = z.infer<typeof serviceFaultsSchema>;

/** @public */
export interface PlainServiceOptions extends StandInOptions {
  readonly faults?: Partial<ServiceFaults>;
}

function parseBodyId(body: string): string | undefined {
  try {
    const value = z.object({ id: z.coerce.string() }).safeParse(JSON.parse(body));
    return value.data?.id;
  } catch {
    return undefined;
  }
}

/** @public */
export class PlainService extends StandIn {
  static override readonly type = 'plain-service';

  static async start(options: PlainServiceOptions = {}): Promise<PlainService> {
    const service = new PlainService(options);
    await service.listen(options.port);
    return service;
  }

  private runCounts: Readonly<Record<string, number>> = {};

  private faults: ServiceFaults;

  private isLeaving = false;

  private heldCount = 0;

  private readonly released = new ChangeSignal();

  private constructor(options: PlainServiceOptions) {
    super();
    this.faults = serviceFaultsSchema.parse(options.faults ?? {});
  }

  /** Number of executions by call id. */
  get runs(): Readonly<Record<string, number>> {
    return this.runCounts;
  }

  /** Number of calls that are waiting at the moment, in a hang or for their latency. */
  get held(): number {
    return this.heldCount;
  }

  setFaults(faults: Partial<ServiceFaults>): void {
    this.faults = serviceFaultsSchema.parse(faults);
  }

  setLeaving(isLeaving: boolean): void {
    this.isLeaving = isLeaving;
  }

  /** Continues all waiting calls. */
  release(): void {
    this.released.notify();
  }

  protected mount(app: StandInApp): void {
    app.get('/healthz', (context) => {
      if (this.isLeaving) context.header('x-leaving', 'true');
      return context.json({ leaving: this.isLeaving });
    });
    app.get('/control/runs', (context) => context.json(this.runCounts));
    app.get('/control/held', (context) => context.json({ held: this.heldCount }));
    app.post('/control/faults', async (context) => {
      this.setFaults(await parseControlBody(context, serviceFaultsSchema));
      return context.json({});
    });
    app.post('/control/leaving', async (context) => {
      this.setLeaving(
        (await parseControlBody(context, z.object({ leaving: z.boolean() }))).leaving,
      );
      return context.json({});
    });
    app.post('/control/release', (context) => {
      this.release();
      return context.json({});
    });
    app.all('*', async (context) => this.run(context));
  }

  private async run(context: StandInContext): Promise<Response> {
    const faults = this.consumeFaults();
    const body = await context.req.text();
    const id =
      context.req.header('x-run-id') ?? parseBodyId(body) ?? context.req.query('id') ?? 'anonymous';
    await this.injectFault(faults.beforeRun, context);
    await this.hold(faults.latencyMs);
    const run = (this.runCounts[id] ?? 0) + 1;
    this.runCounts = { ...this.runCounts, [id]: run };
    await this.injectFault(faults.afterRun, context);
    if (faults.afterRun === 'fail') return context.json({ id, run, error: 'failed' }, 500);
    const { method, path } = context.req;
    return context.json({ id, run, method, path, received: body });
  }

  private consumeFaults(): ServiceFaults {
    const { faults } = this;
    if (faults.times !== undefined) {
      this.faults =
        faults.times > 1 ? { ...faults, times: faults.times - 1 } : serviceFaultsSchema.parse({});
    }
    return faults;
  }

  private async injectFault(
    type: ServiceFaults['afterRun'],
    context: StandInContext,
  ): Promise<void> {
    if (type === 'hang') await this.hold(Infinity);
    if (type !== 'reset') return;
    resetConnection(context.env.incoming);
    // Never resolves: a call whose connection was reset before its execution must not be executed.
    await new Promise<void>(() => {});
  }

  private async hold(timeoutMs: number): Promise<void> {
    if (timeoutMs <= 0) return;
    this.heldCount += 1;
    await this.released.wait(timeoutMs, this.stopping.signal);
    this.heldCount -= 1;
  }
}

registerStandIn(PlainService);
