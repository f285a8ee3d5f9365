/**
 * Simulates nodes with the operations plug-in on a network where the test delivers, drops,
 * duplicates or delays each message. The order is deterministic: only the test's choices affect it.
 */
import { pack, unpack } from 'msgpackr';
import {
  checkContract,
  findKindByName,
  ServingError,
  type Contract,
  type CustomerId,
  type RequestId,
  type VmId,
} from '../src/core';
import type { OperationRules } from '../src/decisions';
import { Kernel, Log } from '../src/kernel';
import { createTestSettings } from '../src/kernel/createTestSettings';
import { OperationsPlugin } from '../src/plugins/operations';
import type { OperationOptions } from '../src/plugins/operations/options';
import {
  ContractStore,
  DecisionLog,
  Fleet,
  Operations,
  PeerHandler,
  Peers,
  Router,
  ServiceCalls,
  type Assignment,
  type FleetEndpoint,
  type Peer,
} from '../src/services';
import { SimulatedClock } from './SimulatedClock';

export const CUSTOMER = 'cafe' as CustomerId;

const START_MS = 1_000_000;
const SILENT_LOG = new Log({ level: 'error', fields: {}, write: () => {} });
const DATA_CENTRES = [
  { dataCentre: 'brisbane', region: 'seq' },
  { dataCentre: 'gold-coast', region: 'seq' },
  { dataCentre: 'cairns', region: 'fnq' },
] as const;

function createContract(customer: string): Contract {
  const checked = checkContract({
    customer,
    keyHashes: ['0'.repeat(64)],
    homeRegion: 'seq',
    limits: { concurrentGenerations: 1, requestsPerSecond: 1 },
    kindsOfWork: ['credit', 'charge'].map((name) => ({
      name,
      type: 'call',
      service: 'credits',
      repeatable: false,
      rank: 0,
      answerWithinMs: 2_000,
    })),
  });
  if (!checked.accepted) throw new Error(JSON.stringify(checked.faults));
  return checked.contract;
}

const CONTRACTS = new Map(
  [CUSTOMER, 'other-cafe'].map((customer) => [customer, createContract(customer)]),
);

/** Returns the context of a call: the contract in force and its clause for a kind of work. */
export function createCallContext(
  kindOfWork = 'credit',
  customer: string = CUSTOMER,
): Parameters<Operations['run']>[2] {
  const contract = CONTRACTS.get(customer);
  const clause = contract && findKindByName(contract, kindOfWork);
  if (!contract || clause?.kind.type !== 'call') throw new Error(`No call clause ${kindOfWork}.`);
  return {
    requestId: 'entry-1~0000000000000000' as RequestId,
    inForce: { contract, revision: 1 },
    clause: { kind: clause.kind, path: clause.path },
  };
}

/** A message in transit: a request or reply between nodes, or between a node and the service. */
export interface SimulatedMessage {
  readonly label: string;
  readonly from: string;
  readonly to: string;
  /** Whether the receiver can receive it now. */
  readonly isDeliverable: () => boolean;
  readonly deliver: () => void;
  readonly drop: () => void;
  readonly mayDuplicate: boolean;
}

/** One process of a node; a restart creates a new one. */
export interface SimulatedProcess {
  readonly vmId: VmId;
  readonly kernel: Kernel;
  readonly clock: SimulatedClock;
  readonly operations: Operations;
  isPaused: boolean;
  isDead: boolean;
}

export interface SimulationParameters {
  readonly nodeCount: number;
  readonly options: OperationOptions;
  readonly rules?: OperationRules;
  readonly createServiceCalls: (fleet: SimulatedFleet, process: SimulatedProcess) => ServiceCalls;
  readonly getEndpointUrl?: () => string;
}

class SimulatedPeers extends Peers {
  constructor(
    private readonly fleet: SimulatedFleet,
    private readonly self: SimulatedProcess,
  ) {
    super();
  }

  async call(vmId: VmId, type: string, body: unknown, deadlineMs: number): Promise<unknown> {
    const { self } = this;
    const reply = new Promise<unknown>((resolve, reject) => {
      this.fleet.sendRequest(self, vmId, type, pack(body), (frame, error) =>
        error ? reject(error) : resolve(frame && unpack(frame)),
      );
    });
    const timeout = self.clock.sleep(deadlineMs - self.clock.nowMs()).then(() => {
      throw new ServingError('peer-unreachable', { detail: 'No reply arrived in time.' });
    });
    return Promise.race([reply, timeout]);
  }

  send(vmId: VmId, type: string, body: unknown): void {
    this.fleet.sendRequest(this.self, vmId, type, pack(body), () => {});
  }

  async connect(address: string): Promise<Peer> {
    throw new ServingError('peer-unreachable', { detail: address });
  }

  listLinked(): ReadonlyArray<Peer> {
    return [];
  }
}

export class SimulatedFleet {
  readonly processes: SimulatedProcess[] = [];

  readonly decisions: string[] = [];

  private queue: ReadonlyArray<SimulatedMessage> = [];

  private elapsedMs = START_MS;

  /**
   * Called with each message that is sent; returns what to do instead of queueing it for delivery.
   */
  intercept: (message: SimulatedMessage) => 'drop' | 'duplicate' | 'hold' | undefined = () =>
    undefined;

  private held: ReadonlyArray<SimulatedMessage> = [];

  constructor(readonly parameters: SimulationParameters) {}

  async start(): Promise<void> {
    for (let index = 0; index < this.parameters.nodeCount; index++) {
      this.processes.push(await this.startProcess(index));
    }
  }

  get inTransit(): ReadonlyArray<SimulatedMessage> {
    return this.queue.filter((message) => message.isDeliverable());
  }

  get nowMs(): number {
    return this.elapsedMs;
  }

  async restart(index: number): Promise<void> {
    this.kill(index);
    this.processes[index] = await this.startProcess(index);
  }

  kill(index: number): void {
    this.get(index).isDead = true;
  }

  get(index: number): SimulatedProcess {
    const found = this.processes[index];
    if (!found) throw new Error(`There is no node ${index}.`);
    return found;
  }

  advance(byMs: number): void {
    this.elapsedMs += byMs;
    this.processes.forEach(({ clock }) => clock.advance(byMs));
  }

  fireTimers(): void {
    this.processes
      .filter((node) => !node.isPaused && !node.isDead)
      .forEach(({ clock }) => clock.fireTimers());
  }

  /** Runs all pending continuations that do not wait for I/O or a timer. */
  async flush(): Promise<void> {
    await new Promise<void>((resolve) => {
      setImmediate(resolve);
    });
  }

  dequeue(pick: number): SimulatedMessage | undefined {
    const deliverable = this.inTransit;
    const chosen = deliverable[pick % Math.max(1, deliverable.length)];
    this.queue = this.queue.filter((message) => message !== chosen);
    return chosen;
  }

  enqueue(message: SimulatedMessage): void {
    const action = this.intercept(message);
    if (action === 'drop') message.drop();
    else if (action === 'hold') this.held = [...this.held, message];
    else this.queue = [...this.queue, message, ...(action === 'duplicate' ? [message] : [])];
  }

  setIntercept(intercept: SimulatedFleet['intercept']): void {
    this.intercept = intercept;
  }

  /** Pauses or resumes a process; while paused, its messages and timers wait. */
  pause(index: number, isPaused: boolean): void {
    this.get(index).isPaused = isPaused;
  }

  releaseHeld(): void {
    this.queue = [...this.queue, ...this.held];
    this.held = [];
  }

  /** Delivers messages and advances time until the promise has settled. */
  async settle<T>(promise: Promise<T>, isBusy: () => boolean = () => false): Promise<T> {
    let isSettled = false;
    const markSettled = (): void => {
      isSettled = true;
    };
    promise.then(markSettled, markSettled);
    await this.flush();
    while (!isSettled) {
      await this.step(isBusy);
    }
    return promise;
  }

  /** Delivers all messages in transit, and those sent as a result. */
  async deliverAll(): Promise<void> {
    await this.flush();
    for (let message = this.dequeue(0); message; message = this.dequeue(0)) {
      message.deliver();
      await this.flush();
    }
  }

  sendRequest(
    from: SimulatedProcess,
    to: VmId,
    type: string,
    frame: Uint8Array,
    onReply: (reply: Uint8Array | undefined, error?: ServingError) => void,
  ): void {
    const findTarget = (): SimulatedProcess | undefined =>
      this.processes.find(({ vmId, isDead }) => vmId === to && !isDead);
    this.enqueue({
      label: type,
      from: from.vmId,
      to,
      mayDuplicate: true,
      isDeliverable: () => !findTarget()?.isPaused,
      drop: () => {},
      deliver: () => {
        const receiver = findTarget();
        if (receiver) void this.handle(from, receiver, type, frame, onReply);
      },
    });
  }

  private async step(isBusy: () => boolean): Promise<void> {
    const message = this.dequeue(0);
    if (message) message.deliver();
    else if (isBusy()) {
      await new Promise((resolve) => {
        setTimeout(resolve, 1);
      });
    } else {
      this.advance(100);
      this.fireTimers();
    }
    await this.flush();
  }

  private async handle(
    from: SimulatedProcess,
    receiver: SimulatedProcess,
    type: string,
    frame: Uint8Array,
    onReply: (reply: Uint8Array | undefined, error?: ServingError) => void,
  ): Promise<void> {
    const peer = { vmId: from.vmId, incarnation: from.kernel.incarnation };
    const handler = receiver.kernel.getAll(PeerHandler).find((found) => found.type === type);
    let reply: Uint8Array | undefined;
    let error: ServingError | undefined;
    try {
      reply = pack(await handler?.handle(peer, handler.schema.parse(unpack(frame))));
    } catch (thrown) {
      error = ServingError.from(thrown);
    }
    if (receiver.isDead) return;
    this.enqueue({
      label: `${type} reply`,
      from: receiver.vmId,
      to: from.vmId,
      mayDuplicate: true,
      isDeliverable: () => !from.isPaused,
      drop: () => {},
      deliver: () => {
        if (!from.isDead) onReply(reply, error);
      },
    });
  }

  private async startProcess(index: number): Promise<SimulatedProcess> {
    const { options, rules } = this.parameters;
    const location = DATA_CENTRES[index % DATA_CENTRES.length];
    class SimulatedPlugin extends OperationsPlugin {
      constructor(kernel: Kernel) {
        super(kernel, options, rules);
      }
    }
    const clock = new SimulatedClock(this.elapsedMs);
    const kernel = new Kernel({
      settings: createTestSettings({ vmId: `entry-${index + 1}`, ...location }),
      clock,
      log: SILENT_LOG,
      plugins: [SimulatedPlugin],
    });
    this.provideFakes(kernel);
    await kernel.start();
    const started: SimulatedProcess = {
      vmId: kernel.settings.vmId,
      kernel,
      clock,
      operations: kernel.get(Operations),
      isPaused: false,
      isDead: false,
    };
    kernel.provide(Peers, new SimulatedPeers(this, started));
    kernel.provide(ServiceCalls, this.parameters.createServiceCalls(this, started));
    return started;
  }

  private provideFakes(kernel: Kernel): void {
    const listNodes = (): ReadonlyArray<unknown> =>
      this.processes.map((node) => ({
        vm: { ...node.kernel.settings, state: 'live' },
        incarnation: node.kernel.incarnation,
        state: node.kernel.state,
      }));
    kernel.provide(Fleet, { listNodes } as unknown as Fleet);
    kernel.provide(ContractStore, {
      find: (customer: string) => ({ contract: CONTRACTS.get(customer), revision: 1 }),
    } as unknown as ContractStore);
    kernel.provide(Router, {
      assign: async (): Promise<Assignment> => ({
        endpoint: {
          endpointId: 'credits-1',
          vm: { url: this.parameters.getEndpointUrl?.() },
        } as FleetEndpoint,
        reportTokens: () => {},
        release: () => {},
      }),
    });
    kernel.provide(DecisionLog, {
      record: ({ step, reason }: { readonly step: string; readonly reason: string }) => {
        this.decisions.push(`${kernel.settings.vmId} ${step}: ${reason}`);
      },
    } as unknown as DecisionLog);
  }
}
