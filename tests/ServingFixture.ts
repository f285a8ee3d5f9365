/**
 * Runs nodes with the generations plug-in against stand-ins in one process on 127.0.0.1, for tests
 * and the bench.
 */
import {
  hashApiKey,
  SystemClock,
  type Decision,
  type GenerationKind,
  type Vm,
  type VmId,
} from '../src/core';
import { Kernel, Log, type LogFields, type PluginClass } from '../src/kernel';
import { ExplainPlugin } from '../src/plugins/explain';
import { FleetPlugin } from '../src/plugins/fleet';
import { GenerationsPlugin } from '../src/plugins/generations';
import { GENERATION_OPTIONS, type GenerationOptions } from '../src/plugins/generations/options';
import { HttpPlugin } from '../src/plugins/http';
import { MetricsPlugin } from '../src/plugins/metrics';
import { PublishedPlugin } from '../src/plugins/published';
import { RoutingPlugin } from '../src/plugins/routing';
import { ReadinessCheck } from '../src/services';
import { ConfigurationService, VmList } from '../stand-ins';
import { waitUntil } from './waitUntil';

/** @internal */
export interface ServingNode {
  readonly kernel: Kernel;
  readonly url: string;
  readonly decisions: ReadonlyArray<Decision>;
  readonly logLines: ReadonlyArray<LogFields>;
}

/** @internal */
export interface FixtureParameters {
  readonly kinds: ReadonlyArray<Partial<GenerationKind>>;
  readonly options?: Partial<GenerationOptions>;
}

const KIND: GenerationKind = {
  name: 'audit-summary',
  type: 'generation',
  model: 'summary-1',
  rank: 2,
  delivery: 'streamed',
  whenCallerLeaves: 'cancel',
  maxOutputTokens: 40_000,
  maxWaitMs: 5_000,
  attempts: 1,
};

const LOCATION = { dataCentre: 'brisbane', region: 'seq', state: 'live' } as const;

/** @internal */
export class ServingFixture {
  /** Two customers with the same kinds of work; the API key of each is `key-` and its name. */
  static readonly customers = ['recup-audits', 'kelanisetu'] as const;

  static async start(parameters: FixtureParameters): Promise<ServingFixture> {
    const fixture = new ServingFixture(
      parameters,
      await ConfigurationService.start(),
      await VmList.start(),
    );
    ServingFixture.customers.forEach((customer) => {
      const contract = {
        customer,
        keyHashes: [hashApiKey(`key-${customer}`)],
        homeRegion: 'seq',
        limits: { concurrentGenerations: 100, requestsPerSecond: 100 },
        kindsOfWork: parameters.kinds.map((kind) => ({ ...KIND, ...kind })),
      };
      fixture.configuration.put(`contracts/${customer}`, JSON.stringify(contract));
    });
    return fixture;
  }

  private readonly nodes: Kernel[] = [];

  private constructor(
    private readonly parameters: FixtureParameters,
    private readonly configuration: ConfigurationService,
    private readonly vmList: VmList,
  ) {}

  listVm(
    vmId: string,
    role: Vm['role'],
    url: string,
    models: ReadonlyArray<string> = ['summary-1'],
  ): void {
    this.vmList.put({ ...LOCATION, vmId: vmId as VmId, role, url, models });
  }

  async startNode(vmId: string): Promise<ServingNode> {
    const logLines: LogFields[] = [];
    const kernel = new Kernel({
      settings: {
        vmId: vmId as VmId,
        dataCentre: LOCATION.dataCentre,
        region: LOCATION.region,
        callerAddress: '127.0.0.1:0',
        peerAddress: '127.0.0.1:0',
        operatorAddress: '127.0.0.1:0',
        configurationUrl: this.configuration.url,
        vmListUrl: this.vmList.url,
        fleetKey: 'test-fleet-key-0001',
        logLevel: 'debug',
      },
      clock: new SystemClock(),
      log: new Log({
        level: 'debug',
        fields: {},
        write: (line) => logLines.push(JSON.parse(line) as LogFields),
      }),
      plugins: this.listPlugins(),
    });
    this.nodes.push(kernel);
    await kernel.start();
    const checks = kernel.getAll(ReadinessCheck);
    await waitUntil('the readiness of the node', () =>
      checks.every((check) => !check.getNotReadyReason()),
    );
    const url = `http://${kernel.addresses.get('callerAddress')}`;
    this.listVm(vmId, 'entry', url);
    return {
      kernel,
      url,
      logLines,
      get decisions() {
        return logLines.filter(({ event }) => event === 'decision') as unknown as Decision[];
      },
    };
  }

  /** Reads the metrics over HTTP, as an operator does. */
  async readMetrics({ kernel }: ServingNode): Promise<{ readonly text: string }> {
    const response = await fetch(`http://${kernel.addresses.get('operatorAddress')}/metrics`);
    return { text: await response.text() };
  }

  async stop(): Promise<void> {
    await Promise.all(this.nodes.map(async (node) => node.dispose()));
    await Promise.all([this.configuration.stop(), this.vmList.stop()]);
  }

  private listPlugins(): ReadonlyArray<PluginClass> {
    const options = { ...GENERATION_OPTIONS, ...this.parameters.options };
    class TunedGenerationsPlugin extends GenerationsPlugin {
      protected override readonly options = options;
    }
    return [
      PublishedPlugin,
      FleetPlugin,
      ExplainPlugin,
      MetricsPlugin,
      RoutingPlugin,
      TunedGenerationsPlugin,
      HttpPlugin,
    ];
  }
}
