/**
 * Stand-in of the platform's list of live and leaving VMs, which shows changes with a delay.
 */
import * as z from 'zod';
import type { Vm, VmId } from '../src/core';
import { ChangeSignal } from './ChangeSignal';
import {
  parseControlBody,
  registerStandIn,
  StandIn,
  type StandInApp,
  type StandInContext,
  type StandInOptions,
} from './StandIn';

/** @public */
export interface VmListOptions extends StandInOptions {
  /** Delay until a change is visible in the list. */
  readonly lagMs?: number;
}

/** State of the list after a change. @public */
export interface VmListVersion {
  readonly revision: number;
  readonly vms: ReadonlyArray<Vm>;
}

interface TimedVersion extends VmListVersion {
  readonly changedAtMs: number;
}

const EMPTY: VmListVersion = { revision: 0, vms: [] };

/** @public */
export class VmList extends StandIn {
  static override readonly type = 'vm-list';

  static async start(options: VmListOptions = {}): Promise<VmList> {
    const list = new VmList(options);
    await list.listen(options.port);
    return list;
  }

  private versions: ReadonlyArray<TimedVersion> = [];

  private newest: VmListVersion = EMPTY;

  private lagMs: number;

  private isDown = false;

  private readonly changed = new ChangeSignal();

  private constructor(options: VmListOptions) {
    super();
    this.lagMs = options.lagMs ?? 0;
  }

  /** Adds or replaces a VM and returns the new revision. */
  put(vm: Vm): number {
    return this.change((vms) => [...vms.filter(({ vmId }) => vmId !== vm.vmId), vm]);
  }

  remove(vmId: VmId): number {
    return this.change((vms) => vms.filter((vm) => vm.vmId !== vmId));
  }

  /** Sets the state of a VM to `leaving`. */
  markLeaving(vmId: VmId): number {
    return this.change((vms) =>
      vms.map((vm) => (vm.vmId === vmId ? { ...vm, state: 'leaving' as const } : vm)),
    );
  }

  setLag(lagMs: number): void {
    this.lagMs = lagMs;
    this.changed.notify();
  }

  setDown(isDown: boolean): void {
    this.isDown = isDown;
    this.changed.notify();
  }

  protected mount(app: StandInApp): void {
    app.get('/v1/vms', (context) => this.respond(context));
    app.get('/v1/vms/watch', async (context) => {
      const after = Number(context.req.query('after') ?? 0);
      await this.waitForChange(after, Number(context.req.query('waitMs') ?? 0), context);
      return this.respond(context);
    });
    app.put('/control/vms/:vmId', async (context) => {
      const vm: Vm = await context.req.json();
      return context.json({ revision: this.put(vm) });
    });
    app.delete('/control/vms/:vmId', (context) =>
      context.json({ revision: this.remove(context.req.param('vmId') as VmId) }),
    );
    app.post('/control/lag', async (context) => {
      this.setLag((await parseControlBody(context, z.object({ lagMs: z.number().min(0) }))).lagMs);
      return context.json({});
    });
    app.post('/control/down', async (context) => {
      this.setDown((await parseControlBody(context, z.object({ down: z.boolean() }))).down);
      return context.json({});
    });
  }

  private change(update: (vms: ReadonlyArray<Vm>) => ReadonlyArray<Vm>): number {
    const next = { revision: this.newest.revision + 1, vms: update(this.newest.vms) };
    this.newest = next;
    this.versions = [...this.versions, { ...next, changedAtMs: performance.now() }];
    this.changed.notify();
    return next.revision;
  }

  private getVisibleVersion(): VmListVersion {
    const visibleUntilMs = performance.now() - this.lagMs;
    const found = this.versions.findLast(({ changedAtMs }) => changedAtMs <= visibleUntilMs);
    return found ? { revision: found.revision, vms: found.vms } : EMPTY;
  }

  /** Returns the time until the next version becomes visible; infinite when all are visible. */
  private getNextVersionDelayMs(): number {
    const visible = this.getVisibleVersion();
    const next = this.versions.find(({ revision }) => revision > visible.revision);
    return next ? Math.max(1, next.changedAtMs + this.lagMs - performance.now()) : Infinity;
  }

  private async waitForChange(
    after: number,
    waitMs: number,
    context: StandInContext,
  ): Promise<void> {
    const deadlineMs = performance.now() + waitMs;
    const signal = AbortSignal.any([this.stopping.signal, context.req.raw.signal]);
    while (!this.isDown && !signal.aborted && this.getVisibleVersion().revision <= after) {
      const remainingMs = deadlineMs - performance.now();
      if (remainingMs <= 0) return;
      await this.changed.wait(Math.min(remainingMs, this.getNextVersionDelayMs()), signal);
    }
  }

  private respond(context: StandInContext): Response {
    if (this.isDown) return context.json({ error: 'down' }, 503);
    return context.json(this.getVisibleVersion());
  }
}

registerStandIn(VmList);
