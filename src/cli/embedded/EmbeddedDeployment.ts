/**
 * A small deployment on loopback in one process: a node in each data centre, with stand-ins for the
 * platform, the engines and the services.
 */
import { randomBytes } from 'node:crypto';
import {
  ConfigurationService,
  ModelEngine,
  PlainService,
  VmList,
  type StandIn,
} from '../../../stand-ins';
import { settingsSchema, SystemClock, vmSchema, type Vm, type VmRole } from '../../core';
import { Kernel, Log } from '../../kernel';
import { ReadinessCheck } from '../../services';
import type { EmbeddedDataCentre, EmbeddedLayout } from './EmbeddedLayout';

/** Wait between looks at whether the nodes are ready. */
const READY_CHECK_MS = 50;

const ANY_PORT = '127.0.0.1:0';

/** @internal */
export class EmbeddedDeployment {
  static async start(
    layout: EmbeddedLayout,
    writeLog: (line: string) => void,
  ): Promise<EmbeddedDeployment> {
    // Loaded here, so that the plug-ins of the other program aren't registered with these.
    await import('../../defaultPlugins');
    const configuration = await ConfigurationService.start();
    const vmList = await VmList.start();
    const deployment = new EmbeddedDeployment(layout, configuration, vmList, writeLog);
    await deployment.startEndpoints();
    await deployment.startNodes();
    await deployment.waitUntilReady();
    return deployment;
  }

  private readonly clock = new SystemClock();

  private readonly fleetKey = randomBytes(16).toString('hex');

  private nodes: ReadonlyArray<Kernel> = [];

  private standIns: ReadonlyArray<StandIn>;

  private readonly runServices = new Map<string, PlainService>();

  private constructor(
    readonly layout: EmbeddedLayout,
    private readonly configuration: ConfigurationService,
    private readonly vmList: VmList,
    private readonly writeLog: (line: string) => void,
  ) {
    this.standIns = [configuration, vmList];
    configuration.put(`contracts/${layout.contract.customer}`, JSON.stringify(layout.contract));
  }

  get callerUrls(): ReadonlyArray<string> {
    return this.nodes.map((node) => `http://${node.addresses.get('callerAddress')}`);
  }

  get operatorUrls(): ReadonlyArray<string> {
    return this.nodes.map((node) => `http://${node.addresses.get('operatorAddress')}`);
  }

  /** How often a service ran the call with the id. */
  countRuns(service: string, id: string): number {
    return this.runServices.get(service)?.runs[id] ?? 0;
  }

  async stop(): Promise<void> {
    await Promise.all(this.nodes.map(async (node) => node.drain()));
    await Promise.all(this.nodes.map(async (node) => node.dispose()));
    await Promise.all(this.standIns.map(async (standIn) => standIn.stop()));
  }

  private async startEndpoints(): Promise<void> {
    const { contract, dataCentres } = this.layout;
    const models = contract.kindsOfWork.flatMap((kind) =>
      kind.type === 'generation' ? [kind.model] : [],
    );
    const services = contract.kindsOfWork.flatMap((kind) =>
      kind.type === 'call' ? [kind.service] : [],
    );
    for (const [index, place] of dataCentres.entries()) {
      const engine = await ModelEngine.start({ seed: index + 1, models: [...new Set(models)] });
      this.standIns = [...this.standIns, engine];
      this.publishVm(`engine-${index + 1}`, 'engine', place, {
        url: engine.url,
        models: [...new Set(models)],
        checksFence: true,
      });
    }
    const [home] = dataCentres;
    for (const service of new Set(services)) {
      const standIn = await PlainService.start();
      this.standIns = [...this.standIns, standIn];
      this.runServices.set(service, standIn);
      if (home) {
        this.publishVm(`service-${service}`, 'service', home, { url: standIn.url, service });
      }
    }
  }

  private async startNodes(): Promise<void> {
    for (const [index, place] of this.layout.dataCentres.entries()) {
      const vmId = `entry-${index + 1}`;
      const node = this.createNode(vmId, place);
      await node.start();
      this.nodes = [...this.nodes, node];
      this.publishVm(vmId, 'entry', place, {
        url: `http://${node.addresses.get('callerAddress')}`,
        peerAddress: node.addresses.get('peerAddress'),
      });
    }
  }

  private createNode(vmId: string, { dataCentre, region }: EmbeddedDataCentre): Kernel {
    const settings = settingsSchema.parse({
      vmId,
      dataCentre,
      region,
      callerAddress: ANY_PORT,
      peerAddress: ANY_PORT,
      operatorAddress: ANY_PORT,
      configurationUrl: this.configuration.url,
      vmListUrl: this.vmList.url,
      fleetKey: this.fleetKey,
    });
    const log = new Log({ level: 'info', fields: { vmId }, write: this.writeLog });
    return new Kernel({ settings, clock: this.clock, log });
  }

  private publishVm(
    vmId: string,
    role: VmRole,
    place: EmbeddedDataCentre,
    details: Partial<Vm>,
  ): void {
    this.vmList.put(vmSchema.parse({ vmId, role, state: 'live', ...place, ...details }));
  }

  private async waitUntilReady(): Promise<void> {
    const isReady = (node: Kernel): boolean =>
      node.getAll(ReadinessCheck).every((check) => check.getNotReadyReason() === undefined);
    while (!this.nodes.every(isReady)) await this.clock.sleep(READY_CHECK_MS);
  }
}
