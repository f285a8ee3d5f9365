/**
 * Small deployment on loopback in one process: a node in each data centre, with stand-ins for the
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

const READY_POLL_INTERVAL_MS = 50;

const ANY_PORT = '127.0.0.1:0';

/** @internal */
export class EmbeddedDeployment {
  static async start(
    layout: EmbeddedLayout,
    writeLog: (line: string) => void,
  ): Promise<EmbeddedDeployment> {
    // Imported only here: the import registers plug-ins, and other commands use a different set.
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

  private readonly serviceStandIns = new Map<string, PlainService>();

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

  /** Returns how often a service has run the call with the id. */
  countRuns(service: string, id: string): number {
    return this.serviceStandIns.get(service)?.runs[id] ?? 0;
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
    for (const [index, location] of dataCentres.entries()) {
      const engine = await ModelEngine.start({ seed: index + 1, models: [...new Set(models)] });
      this.standIns = [...this.standIns, engine];
      this.publishVm(`engine-${index + 1}`, 'engine', location, {
        url: engine.url,
        models: [...new Set(models)],
        checksFence: true,
      });
    }
    const [firstDataCentre] = dataCentres;
    for (const service of new Set(services)) {
      const standIn = await PlainService.start();
      this.standIns = [...this.standIns, standIn];
      this.serviceStandIns.set(service, standIn);
      if (firstDataCentre) {
        this.publishVm(`service-${service}`, 'service', firstDataCentre, {
          url: standIn.url,
          service,
        });
      }
    }
  }

  private async startNodes(): Promise<void> {
    for (const [index, location] of this.layout.dataCentres.entries()) {
      const vmId = `entry-${index + 1}`;
      const node = this.createNode(vmId, location);
      await node.start();
      this.nodes = [...this.nodes, node];
      this.publishVm(vmId, 'entry', location, {
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
    location: EmbeddedDataCentre,
    details: Partial<Vm>,
  ): void {
    this.vmList.put(vmSchema.parse({ vmId, role, state: 'live', ...location, ...details }));
  }

  private async waitUntilReady(): Promise<void> {
    const isReady = (node: Kernel): boolean =>
      node.getAll(ReadinessCheck).every((check) => check.getNotReadyReason() === undefined);
    while (!this.nodes.every(isReady)) await this.clock.sleep(READY_POLL_INTERVAL_MS);
  }
}
