/**
 * Stand-in of a plain service: runs any call and counts the runs by the id of the call.
 *
 * The id is the header `x-run-id`, else the field `id` of a JSON body, else the query `id`.
 */
import { z } from 'zod';
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

/** What goes wrong before or after a run. */
const interruptionSchema = z.enum(['none', 'reset', 'hang']);

/** @public */
export const serviceFaultsSchema = z
  .object({
    /** Time that a run takes. */
    latencyMs: z.number().min(0).default(0),
    beforeRun: interruptionSchema.default('none'),
    /** `fail` answers 500 although the call was run. */
    afterRun: z.enum([...interruptionSchema.options, 'fail']).default('none'),
    /** Number of calls that are affected; then the faults end by themselves. */
    times: z.int().positive().optional(),
  })
  .readonly();
export type ServiceFaults = z.infer<typeof serviceFaultsSchema>;

/** @public */
export interface PlainServiceOptions extends StandInOptions {
  readonly faults?: Partial<ServiceFaults>;
}

function findIdInBody(body: string): string | undefined {
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

  /** Calls that wait in a hang or in their latency now. */
  private heldCount = 0;

  private readonly released = new ChangeSignal();

  private constructor(options: PlainServiceOptions) {
    super();
    this.faults = serviceFaultsSchema.parse(options.faults ?? {});
  }

  /** Number of runs by id. */
  get runs(): Readonly<Record<string, number>> {
    return this.runCounts;
  }

  /** Calls that wait in a hang or in their latency now. */
  get held(): number {
    return this.heldCount;
  }

  setFaults(faults: Partial<ServiceFaults>): void {
    this.faults = serviceFaultsSchema.parse(faults);
  }

  setLeaving(isLeaving: boolean): void {
    this.isLeaving = isLeaving;
  }

  /** Lets the calls that hang go on. */
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
    const faults = this.takeFaults();
    const body = await context.req.text();
    const id =
      context.req.header('x-run-id') ??
      findIdInBody(body) ??
      context.req.query('id') ??
      'anonymous';
    await this.interrupt(faults.beforeRun, context);
    await this.hold(faults.latencyMs);
    const run = (this.runCounts[id] ?? 0) + 1;
    this.runCounts = { ...this.runCounts, [id]: run };
    await this.interrupt(faults.afterRun, context);
    if (faults.afterRun === 'fail') return context.json({ id, run, error: 'failed' }, 500);
    const { method, path } = context.req;
    return context.json({ id, run, method, path, received: body });
  }

  private takeFaults(): ServiceFaults {
    const { faults } = this;
    if (faults.times !== undefined) {
      this.faults =
        faults.times > 1 ? { ...faults, times: faults.times - 1 } : serviceFaultsSchema.parse({});
    }
    return faults;
  }

  private async interrupt(
    interruption: ServiceFaults['afterRun'],
    context: StandInContext,
  ): Promise<void> {
    if (interruption === 'hang') await this.hold(Infinity);
    if (interruption !== 'reset') return;
    resetConnection(context.env.incoming);
    // A call whose connection is gone goes no further: it isn't run if it had not been.
    await new Promise<void>(() => {});
  }

  private async hold(limitMs: number): Promise<void> {
    if (limitMs <= 0) return;
    this.heldCount += 1;
    await this.released.wait(limitMs, this.stopping.signal);
    this.heldCount -= 1;
  }
}

registerStandIn(PlainService);
