/**
 * A small deployment for process-level tests: the stand-ins run in the test's process, each node
 * runs in a process of its own.
 */
import { settingsSchema, type Contract, type Vm, type VmId } from '../src/core';
import {
  ConfigurationService,
  ModelEngine,
  PlainService,
  VmList,
  type ModelEngineOptions,
  type PlainServiceOptions,
  type StandIn,
} from '../stand-ins';
import { DeployedNode, type NodeLocation } from './DeployedNode';
import { NetworkRelay } from './NetworkRelay';
import { waitUntil } from './waitUntil';

export interface DeploymentOptions {
  /** Locations of the nodes, which are named `entry-1`, `entry-2` and so on. */
  readonly nodes?: ReadonlyArray<NodeLocation>;
  /** Engines, which are named `engine-1`, `engine-2` and so on. */
  readonly engines?: ReadonlyArray<ModelEngineOptions>;
  /** Services by name; a service `credits` runs on the VM `credits-1`. */
  readonly services?: Readonly<Record<string, PlainServiceOptions>>;
  readonly contracts?: ReadonlyArray<Contract>;
}

const BRISBANE: NodeLocation = { dataCentre: 'brisbane', region: 'seq' };
const GOLD_COAST: NodeLocation = { dataCentre: 'gold-coast', region: 'seq' };

const ANY_PORT = '127.0.0.1:0';

function getAddress(url: string): string {
  return new URL(url).host;
}

export class Deployment {
  /** Starts everything and waits until every node is ready. */
  static async start(options: DeploymentOptions = {}): Promise<Deployment> {
    const [configuration, vmList] = await Promise.all([
      ConfigurationService.start(),
      VmList.start(),
    ]);
    const deployment = new Deployment(configuration, vmList);
    try {
      await deployment.startAll(options);
    } catch (thrown) {
      await deployment.stop();
      throw thrown;
    }
    return deployment;
  }

  /** Runs a test with its own deployment, which is stopped when the test ends. */
  static async use(
    options: DeploymentOptions,
    body: (deployment: Deployment) => Promise<void>,
  ): Promise<void> {
    const deployment = await Deployment.start(options);
    try {
      await body(deployment);
    } finally {
      await deployment.stop();
    }
  }

  private startedNodes: ReadonlyArray<DeployedNode> = [];

  private startedEngines: ReadonlyArray<ModelEngine> = [];

  private readonly startedServices = new Map<string, PlainService>();

  /** Relays in front of endpoints and of the nodes' peer listeners, by VM. */
  private readonly relays = new Map<string, NetworkRelay>();

  private constructor(
    readonly configuration: ConfigurationService,
    readonly vmList: VmList,
  ) {}

  /** @param number counted from 1. @throws RangeError when the deployment has no such node. */
  getNode(number: number): DeployedNode {
    const node = this.startedNodes[number - 1];
    if (!node) throw new RangeError(`no node ${number}`);
    return node;
  }

  getEngine(number: number): ModelEngine {
    const engine = this.startedEngines[number - 1];
    if (!engine) throw new RangeError(`no engine ${number}`);
    return engine;
  }

  getService(name: string): PlainService {
    const service = this.startedServices.get(name);
    if (!service) throw new RangeError(`no service ${name}`);
    return service;
  }

  /**
   * Returns the link to a VM: to the peer listener of a node, or to the only listener of an
   * endpoint.
   */
  getLink(vmId: string): NetworkRelay {
    const relay = this.relays.get(vmId);
    if (!relay) throw new RangeError(`no link to ${vmId}`);
    return relay;
  }

  get nodes(): ReadonlyArray<DeployedNode> {
    return this.startedNodes;
  }

  get engines(): ReadonlyArray<ModelEngine> {
    return this.startedEngines;
  }

  publish(contract: Contract): number {
    return this.publishText(contract.customer, JSON.stringify(contract));
  }

  /** Publishes arbitrary text as the contract of a customer. */
  publishText(customer: string, text: string): number {
    return this.configuration.put(`contracts/${customer}`, text);
  }

  async addNode(location: NodeLocation): Promise<DeployedNode> {
    const node = await DeployedNode.start(
      settingsSchema.parse({
        vmId: `entry-${this.startedNodes.length + 1}`,
        ...location,
        callerAddress: ANY_PORT,
        peerAddress: ANY_PORT,
        operatorAddress: ANY_PORT,
        configurationUrl: this.configuration.url,
        vmListUrl: this.vmList.url,
        fleetKey: 'fleet-key-of-the-tests',
        logLevel: 'debug',
      }),
    );
    this.startedNodes = [...this.startedNodes, node];
    const relay = await NetworkRelay.start(node.addresses.peerAddress);
    this.relays.set(node.vmId, relay);
    this.vmList.put(node.describe(relay.address));
    return node;
  }

  async addEngine(options: ModelEngineOptions): Promise<ModelEngine> {
    const engine = await ModelEngine.start(options);
    this.startedEngines = [...this.startedEngines, engine];
    const models = options.models ?? ['summary-1'];
    const checksFence = options.checksFence ?? true;
    const vmId = `engine-${this.startedEngines.length}`;
    await this.listVm(vmId, engine, { role: 'engine', models, checksFence });
    return engine;
  }

  async addService(service: string, options: PlainServiceOptions): Promise<PlainService> {
    const standIn = await PlainService.start(options);
    this.startedServices.set(service, standIn);
    await this.listVm(`${service}-1`, standIn, { role: 'service', service });
    return standIn;
  }

  async waitUntilReady(): Promise<void> {
    await Promise.all(
      this.startedNodes.map(async (node) =>
        waitUntil(`the readiness of ${node.vmId}`, async () => node.isReady()),
      ),
    );
  }

  /** Ends every started process and every stand-in. */
  async stop(): Promise<void> {
    await Promise.all(this.startedNodes.map(async ({ process }) => process.kill()));
    await Promise.all([...this.relays.values()].map(async (relay) => relay.stop()));
    const standIns: ReadonlyArray<StandIn> = [
      this.configuration,
      this.vmList,
      ...this.startedEngines,
      ...this.startedServices.values(),
    ];
    await Promise.all(standIns.map(async (standIn) => standIn.stop()));
  }

  private async startAll(options: DeploymentOptions): Promise<void> {
    options.contracts?.forEach((contract) => this.publish(contract));
    for (const engine of options.engines ?? []) await this.addEngine(engine);
    for (const [name, service] of Object.entries(options.services ?? {})) {
      await this.addService(name, service);
    }
    for (const location of options.nodes ?? [BRISBANE, GOLD_COAST]) await this.addNode(location);
    await this.waitUntilReady();
  }

  private async listVm(
    vmId: string,
    standIn: StandIn,
    fields: Pick<Vm, 'role' | 'models' | 'service' | 'checksFence'>,
  ): Promise<void> {
    const relay = await NetworkRelay.start(getAddress(standIn.url));
    this.relays.set(vmId, relay);
    const url = `http://${relay.address}`;
    this.vmList.put({ vmId: vmId as VmId, url, ...BRISBANE, ...fields, state: 'live' });
  }
}
