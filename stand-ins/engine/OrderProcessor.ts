/**
 * Executes orders to an engine, which set the models, adapters and versions that it serves and its
 * role.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { match } from 'ts-pattern';
import * as z from 'zod';
import type { EngineScheduler } from './EngineScheduler';

const orderSchema = z.discriminatedUnion('type', [
  z.object({ type: z.literal('load-model'), model: z.string(), version: z.string().optional() }),
  z.object({ type: z.literal('unload-model'), model: z.string() }),
  /** An adapter is served under its own name, like a model. */
  z.object({ type: z.literal('load-adapter'), model: z.string(), adapter: z.string() }),
  z.object({ type: z.literal('set-role'), role: z.string() }),
]);
type EngineOrder = z.infer<typeof orderSchema>;

/** A fencing token: a number, or its parts from the most to the least significant. */
const fenceSchema = z.union([z.number(), z.array(z.number()).min(1)]);

/** @public */
export const orderRequestSchema = z.object({ fence: fenceSchema, order: orderSchema });
export type OrderRequest = z.infer<typeof orderRequestSchema>;

/** A received order and whether it was accepted. @public */
export interface ReceivedOrder extends OrderRequest {
  readonly accepted: boolean;
}

function compareFences(a: OrderRequest['fence'], b: OrderRequest['fence']): number {
  const [left, right] = [[a].flat(), [b].flat()];
  const difference = left.map((part, index) => part - (right[index] ?? 0)).find((d) => d !== 0);
  return difference ?? left.length - right.length;
}

function addName(names: ReadonlyArray<string>, name: string): ReadonlyArray<string> {
  return names.includes(name) ? names : [...names, name];
}

/** @internal */
export class OrderProcessor {
  private receivedOrders: ReadonlyArray<ReceivedOrder> = [];

  private highestFence: OrderRequest['fence'] | undefined;

  constructor(
    private readonly scheduler: EngineScheduler,
    private readonly options: { readonly checksFence: boolean; readonly loadMs: number },
  ) {}

  get received(): ReadonlyArray<ReceivedOrder> {
    return this.receivedOrders;
  }

  /** Starts an order; false if its fencing token is stale and the engine checks fencing tokens. */
  submit(request: OrderRequest, signal: AbortSignal): boolean {
    const { fence, order } = request;
    const isStale = this.highestFence !== undefined && compareFences(fence, this.highestFence) < 0;
    const accepted = !isStale || !this.options.checksFence;
    this.receivedOrders = [...this.receivedOrders, { ...request, accepted }];
    if (!isStale) this.highestFence = fence;
    if (accepted) void this.execute(order, signal);
    return accepted;
  }

  private async execute(order: EngineOrder, signal: AbortSignal): Promise<void> {
    if (order.type === 'load-model' || order.type === 'load-adapter') {
      const isStopped = await sleep(this.options.loadMs, false, { signal }).catch(() => true);
      if (isStopped) return;
    }
    this.apply(order);
  }

  private apply(order: EngineOrder): void {
    const { models, versions } = this.scheduler.currentReport;
    const nowMs = performance.now();
    match(order)
      .with({ type: 'load-model' }, ({ model, version }) => {
        const next = version === undefined ? versions : { ...versions, [model]: version };
        this.scheduler.setModels(addName(models, model), next, nowMs);
      })
      .with({ type: 'unload-model' }, ({ model }) => {
        const others = models.filter((name) => name !== model);
        this.scheduler.setModels(others, versions, nowMs);
      })
      .with({ type: 'load-adapter' }, ({ adapter }) => {
        this.scheduler.setModels(addName(models, adapter), versions, nowMs);
      })
      .with({ type: 'set-role' }, ({ role }) => this.scheduler.setRole(role, nowMs))
      .exhaustive();
  }
}
