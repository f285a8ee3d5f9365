/**
 * Generates interleavings of operations and faults, and checks the properties that must hold in
 * each.
 */
import fc from 'fast-check';
import { ServingError, type ErrorKind } from '../src/core';
import type { OperationRules } from '../src/decisions';
import { OPERATION_OPTIONS, type OperationOptions } from '../src/plugins/operations/options';
import {
  ServiceCalls,
  type FleetEndpoint,
  type ServiceAnswer,
  type ServiceCall,
} from '../src/services';
import {
  createCallContext,
  CUSTOMER,
  SimulatedFleet,
  type SimulatedProcess,
} from './SimulatedFleet';

const NODE_COUNT = 3;

export const MODEL_OPTIONS: OperationOptions = {
  ...OPERATION_OPTIONS,
  ticketLifetimeMs: 6_000,
  retentionMs: 20_000,
  reportAttempts: 4,
};

/** One step of an interleaving. Nodes, operations and messages are chosen by index. */
export type ModelStep =
  | { readonly step: 'issue'; readonly node: number }
  | {
      readonly step: 'send';
      readonly node: number;
      readonly operation: number;
      readonly variant: number;
    }
  | { readonly step: 'deliver'; readonly pick: number; readonly count: number }
  | { readonly step: 'drop' | 'duplicate'; readonly pick: number }
  | { readonly step: 'advance'; readonly byMs: number; readonly firesTimers: boolean }
  | { readonly step: 'pause' | 'wake' | 'restart'; readonly node: number };

export interface ModelRun {
  readonly witnessCount: number;
  readonly steps: ReadonlyArray<ModelStep>;
}

const node = fc.nat({ max: NODE_COUNT - 1 });
const pick = fc.nat({ max: 7 });

const stepArbitrary: fc.Arbitrary<ModelStep> = fc.oneof(
  { weight: 2, arbitrary: fc.record({ step: fc.constant('issue' as const), node }) },
  {
    weight: 5,
    arbitrary: fc.record({
      step: fc.constant('send' as const),
      node,
      operation: fc.nat({ max: 2 }),
      variant: fc.constantFrom(0, 0, 0, 1),
    }),
  },
  {
    weight: 12,
    arbitrary: fc.record({
      step: fc.constant('deliver' as const),
      pick,
      count: fc.integer({ min: 1, max: 4 }),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({ step: fc.constantFrom('drop' as const, 'duplicate' as const), pick }),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      step: fc.constant('advance' as const),
      byMs: fc.constantFrom(300, 1_100, 3_600, 6_100, 30_000),
      // If false, messages are processed before the timers of a process that has just been resumed.
      firesTimers: fc.constantFrom(true, true, false),
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      step: fc.constantFrom('pause' as const, 'wake' as const, 'restart' as const),
      node,
    }),
  },
);

export const modelRunArbitrary: fc.Arbitrary<ModelRun> = fc.record({
  witnessCount: fc.constantFrom(1, 2),
  steps: fc.array(stepArbitrary, { minLength: 4, maxLength: 45, size: 'max' }),
});

interface IssuedOperation {
  readonly key: string;
  readonly expiresAtMs: number;
}

/** What one call returned to its caller. */
interface CallResult {
  readonly operation: number;
  readonly variant: number;
  readonly response: string | undefined;
  readonly kind: ErrorKind | undefined;
}

interface Run {
  readonly operation: number;
  readonly variant: number;
}

/** Observes the calls that reach the service. */
export interface ServiceObserver {
  recordDispatch: (run: Run) => void;
  /** Returns the body of the response. */
  recordRun: (run: Run) => string;
}

const decoder = new TextDecoder();

/**
 * The service on the simulated network: its requests may be delayed or lost, but never duplicated.
 */
export class SimulatedService extends ServiceCalls {
  constructor(
    private readonly observer: ServiceObserver,
    private readonly fleet: SimulatedFleet,
    private readonly self: SimulatedProcess,
  ) {
    super();
  }

  async sendOnce(
    _endpoint: FleetEndpoint,
    call: ServiceCall,
    deadlineMs: number,
  ): Promise<ServiceAnswer> {
    const run = JSON.parse(decoder.decode(call.body)) as Run;
    this.observer.recordDispatch(run);
    const { self } = this;
    const response = new Promise<ServiceAnswer>((resolve, reject) => {
      this.fleet.enqueue({
        label: 'service',
        from: self.vmId,
        to: 'credits-1',
        mayDuplicate: false,
        isDeliverable: () => true,
        drop: () => reject(new ServingError('endpoint-unreachable', { detail: 'Not connected.' })),
        deliver: () => this.sendResponse(this.observer.recordRun(run), resolve, reject),
      });
    });
    const timeout = self.clock.sleep(deadlineMs - self.clock.nowMs()).then(() => {
      throw new ServingError('outcome-unknown', { detail: 'No response arrived in time.' });
    });
    return Promise.race([response, timeout]);
  }

  async runRepeatable(): Promise<ServiceAnswer> {
    throw new Error('The model has no repeatable calls.');
  }

  private sendResponse(
    body: string,
    resolve: (response: ServiceAnswer) => void,
    reject: (error: ServingError) => void,
  ): void {
    const { self } = this;
    this.fleet.enqueue({
      label: 'service reply',
      from: 'credits-1',
      to: self.vmId,
      mayDuplicate: false,
      isDeliverable: () => !self.isPaused,
      drop: () => {
        if (!self.isDead) reject(new ServingError('outcome-unknown', { detail: 'Reset.' }));
      },
      deliver: () => {
        const response = { status: 201, headers: { 'x-run': body }, body: Buffer.from(body) };
        if (!self.isDead) resolve(response);
      },
    });
  }
}

/** Runs one interleaving and collects the violations of the properties. */
export class OperationModel implements ServiceObserver {
  private readonly operations: IssuedOperation[] = [];

  private readonly results: CallResult[] = [];

  private readonly runs: Run[] = [];

  private readonly violations: string[] = [];

  private readonly fleet: SimulatedFleet;

  private pendingSends = 0;

  constructor(
    private readonly modelRun: ModelRun,
    rules?: OperationRules,
  ) {
    this.fleet = new SimulatedFleet({
      nodeCount: NODE_COUNT,
      options: { ...MODEL_OPTIONS, witnessCount: modelRun.witnessCount },
      rules,
      createServiceCalls: (fleet, self) => new SimulatedService(this, fleet, self),
    });
  }

  /** Returns the violations; an empty list for a correct system. */
  async findViolations(): Promise<ReadonlyArray<string>> {
    await this.fleet.start();
    await this.issue(0);
    for (const step of this.modelRun.steps) {
      await this.perform(step);
      await this.fleet.flush();
    }
    await this.repeatEverywhere();
    this.checkProperties();
    return this.violations;
  }

  get resultKinds(): ReadonlyArray<string> {
    return this.results.map(({ kind }) => kind ?? 'answered');
  }

  recordDispatch({ operation }: Run): void {
    const expiresAtMs = this.operations[operation]?.expiresAtMs ?? 0;
    if (this.fleet.nowMs >= expiresAtMs) this.violations.push(`dispatched ${operation} too late`);
  }

  recordRun(run: Run): string {
    this.runs.push(run);
    return `run ${this.runs.length}`;
  }

  private async perform(step: ModelStep): Promise<void> {
    const { fleet } = this;
    switch (step.step) {
      case 'issue':
        await this.issue(step.node);
        break;
      case 'send':
        this.send(fleet.get(step.node), step.operation % this.operations.length, step.variant);
        break;
      case 'deliver':
        for (let index = 0; index < step.count; index++) {
          fleet.dequeue(step.pick)?.deliver();
          await fleet.flush();
        }
        break;
      case 'drop':
        fleet.dequeue(step.pick)?.drop();
        break;
      case 'duplicate':
        this.duplicate(step.pick);
        break;
      case 'advance':
        fleet.advance(step.byMs);
        if (step.firesTimers) fleet.fireTimers();
        break;
      case 'pause':
        fleet.get(step.node).isPaused = true;
        break;
      case 'wake':
        fleet.get(step.node).isPaused = false;
        break;
      default:
        await fleet.restart(step.node);
    }
  }

  /**
   * Issues a key and delivers all of its messages, so that interleavings start with a usable key.
   */
  private async issue(index: number): Promise<void> {
    const issuer = this.fleet.get(index);
    if (issuer.isPaused) return;
    const expiresAtMs = this.fleet.nowMs + MODEL_OPTIONS.ticketLifetimeMs;
    const issued = issuer.operations.issueTicket(CUSTOMER, 'credit').then(({ key }) => {
      this.operations.push({ key, expiresAtMs });
    });
    issued.catch(() => {});
    await this.fleet.flush();
    for (const label of ['operation.reserve', 'operation.reserve reply']) {
      await this.deliverLabelled(label);
    }
  }

  private async deliverLabelled(label: string): Promise<void> {
    const count = this.fleet.inTransit.length;
    for (let index = count - 1; index >= 0; index--) {
      if (this.fleet.inTransit[index]?.label === label) this.fleet.dequeue(index)?.deliver();
    }
    await this.fleet.flush();
  }

  private send(process: SimulatedProcess, operation: number, variant: number): void {
    const issued = this.operations[operation];
    if (!issued || process.isPaused) return;
    const body = Buffer.from(JSON.stringify({ operation, variant }));
    const call = { method: 'POST', path: '/credit', headers: {}, body };
    this.pendingSends += 1;
    const record = (response: string | undefined, kind: ErrorKind | undefined): void => {
      this.pendingSends -= 1;
      this.results.push({ operation, variant, response, kind });
    };
    process.operations.run(issued.key, call, createCallContext()).then(
      (response) => record(`${response.status} ${decoder.decode(response.body)}`, undefined),
      (thrown: unknown) => record(undefined, ServingError.from(thrown).kind),
    );
  }

  private duplicate(index: number): void {
    const message = this.fleet.inTransit[index % Math.max(1, this.fleet.inTransit.length)];
    if (message?.mayDuplicate) this.fleet.enqueue(message);
  }

  /** Ends all faults and repeats each operation at each node. */
  private async repeatEverywhere(): Promise<void> {
    for (let index = 0; index < NODE_COUNT; index++) this.fleet.get(index).isPaused = false;
    await this.settle();
    for (const process of this.fleet.processes) {
      this.operations.forEach((_, operation) => this.send(process, operation, 0));
      await this.settle();
    }
  }

  private async settle(): Promise<void> {
    // Longer than the longest chain of timeouts: call, margin, close, reports.
    for (let round = 0; round < 12; round++) {
      await this.fleet.deliverAll();
      this.fleet.advance(500);
      this.fleet.fireTimers();
    }
    await this.fleet.deliverAll();
  }

  private checkProperties(): void {
    this.operations.forEach((_, operation) => {
      const runs = this.runs.filter((run) => run.operation === operation);
      const results = this.results.filter((result) => result.operation === operation);
      if (runs.length > 1) this.violations.push(`operation ${operation} ran ${runs.length} times`);
      const texts = new Set(
        results.map(({ response }) => response).filter((text) => text !== undefined),
      );
      if (texts.size > 1) this.violations.push(`operation ${operation} had ${texts.size} answers`);
      const notRun = results.filter(
        ({ kind }) => kind !== undefined && OperationModel.isNotRunKind(kind),
      );
      const isFalse = notRun.some(({ variant }) => runs.some((run) => run.variant === variant));
      if (isFalse) this.violations.push(`operation ${operation} ran despite not-run`);
      const internal = results.filter(
        ({ kind }) => kind === 'internal' || kind === 'invalid-token',
      );
      if (internal.length > 0) this.violations.push(`operation ${operation} failed with internal`);
    });
  }

  private static isNotRunKind(kind: ErrorKind): boolean {
    return ['operation-closed', 'operation-key-expired', 'operation-key-reused'].includes(kind);
  }
}
