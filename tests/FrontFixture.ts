/**
 * Starts forwarding nodes in the test's process, with stand-ins for the platform's store and
 * engines.
 */
import { createServer, type AddressInfo } from 'node:net';
import { once } from 'node:events';
import { getGlobalDispatcher, type Dispatcher } from 'undici';
import { parseFrontSettings, SystemClock, type FrontSettings } from '../src/core';
import '../src/frontPlugins';
import { Kernel, Log, type LogFields } from '../src/kernel';
import { Deployment, FrontSettingsStore, Members } from '../src/services';
import { MetadataStore } from '../stand-ins/MetadataStore';
import { PlatformEngine, type PlatformEngineOptions } from '../stand-ins/PlatformEngine';
import { waitUntil } from './waitUntil';

export const HOST = 'desk.example';

/** Returns a configuration in the form in which the operator publishes it. */
export function createStoreConfiguration(
  changes: Readonly<Record<string, unknown>> = {},
): Readonly<Record<string, unknown>> {
  const shared = { host: HOST, timeoutMs: 4_000, latencyGoalMs: 1_000, priority: 1 };
  return {
    version: 5,
    routes: [
      {
        ...shared,
        name: 'lookup',
        prefix: '/lookup/',
        kind: 'safe',
        service: 'desk',
        maxAttempts: 2,
      },
      {
        ...shared,
        name: 'credit',
        prefix: '/credit/',
        kind: 'unsafe',
        service: 'desk',
        maxAttempts: 1,
      },
      { ...shared, name: 'report', prefix: '/report/', kind: 'streaming', service: 'writers' },
      {
        ...shared,
        name: 'label',
        prefix: '/label/',
        kind: 'streaming',
        service: 'writers',
        streamResume: true,
        maxAttempts: 2,
      },
    ],
    services: [
      { name: 'desk', maxConnections: 40 },
      {
        name: 'writers',
        maxConnections: 40,
        engine: { kvCapacity: 30_000, stride: 4, moves: true, backups: false },
      },
    ],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 100_000,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 5_000,
    },
    tenants: [{ name: 'cafe-1', apiKeys: ['key-1'] }],
    ...changes,
  };
}

/** Returns services whose engines move runs and keep backups of them. */
export function createServicesWithBackups(
  maxConnections = 40,
  kvCapacity = 30_000,
): ReadonlyArray<Readonly<Record<string, unknown>>> {
  return [
    { name: 'desk', maxConnections: 40 },
    {
      name: 'writers',
      maxConnections,
      engine: { kvCapacity, stride: 4, moves: true, backups: true },
    },
  ];
}

async function findFreePort(): Promise<number> {
  const server = createServer().listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  server.close();
  await once(server, 'close');
  return port;
}

class FixedSettings extends FrontSettingsStore {
  constructor(readonly settings: FrontSettings) {
    super();
  }
}

export interface FrontNode {
  readonly kernel: Kernel;
  readonly settings: FrontSettings;
  readonly lines: ReadonlyArray<LogFields>;
}

export class FrontFixture {
  readonly nodes: FrontNode[] = [];

  readonly engines: PlatformEngine[] = [];

  /** Feature switches of the nodes that are added next. */
  scheduling: Readonly<Record<string, 'auto' | 'on' | 'off'>> = {};

  /** Limits of the connections of the nodes that are added next. */
  connections: Readonly<Record<string, number>> = {};

  private readonly otherStores: MetadataStore[] = [];

  private constructor(readonly store: MetadataStore) {}

  static async start(): Promise<FrontFixture> {
    return new FrontFixture(await MetadataStore.start());
  }

  async stop(): Promise<void> {
    await Promise.all(this.nodes.map(async ({ kernel }) => kernel.dispose()));
    await Promise.all(this.engines.map(async (engine) => engine.stop()));
    await Promise.all([this.store, ...this.otherStores].map(async (store) => store.stop()));
  }

  /** Starts a separate store, for a node that is to be cut off alone. */
  async addStore(): Promise<MetadataStore> {
    const store = await MetadataStore.start();
    this.otherStores.push(store);
    return store;
  }

  /** Starts an engine and registers it in the store. */
  async addEngine(
    service: string,
    options: PlatformEngineOptions,
    entry: Readonly<Record<string, unknown>> = {},
  ): Promise<PlatformEngine> {
    const engine = await PlatformEngine.start(options);
    this.engines.push(engine);
    this.store.put(`servers/${options.instanceId}`, engine.createEntry(service, entry));
    return engine;
  }

  /**
   * Starts a node. Its addresses have to be known before the start, so another process can take a
   * port after it was found free; the start is then repeated on other ports.
   */
  async addNode(
    bounds: Readonly<Record<string, number>> = {},
    storeUrl = this.store.url,
  ): Promise<FrontNode> {
    for (;;) {
      try {
        return await this.startNode(bounds, storeUrl);
      } catch (thrown) {
        if ((thrown as NodeJS.ErrnoException).code !== 'EADDRINUSE') throw thrown;
      }
    }
  }

  /** Returns the content of the next node's settings file. */
  async createSettingsJson(
    bounds: Readonly<Record<string, number>>,
    storeUrl = this.store.url,
  ): Promise<string> {
    const ports = await Promise.all(Array.from({ length: 5 }, findFreePort));
    const [caller, peer, operator, readiness, directory] = ports.map((port) => `127.0.0.1:${port}`);
    return JSON.stringify({
      node: {
        vmId: `front-${this.nodes.length + 1}`,
        dataCentre: 'brisbane',
        region: 'seq',
        callerAddress: caller,
        peerAddress: peer,
        operatorAddress: operator,
        configurationUrl: storeUrl,
        vmListUrl: storeUrl,
        fleetKey: 'test-fleet-key-0001',
      },
      readinessAddress: readiness,
      directoryAddress: directory,
      seeds: this.nodes.slice(0, 1).map((node) => node.settings.node.peerAddress),
      regions: { brisbane: 'seq', goldcoast: 'seq', cairns: 'fnq' },
      bounds,
      scheduling: this.scheduling,
      connections: this.connections,
    });
  }

  private async startNode(
    bounds: Readonly<Record<string, number>>,
    storeUrl: string,
  ): Promise<FrontNode> {
    const settings = parseFrontSettings(await this.createSettingsJson(bounds, storeUrl));
    const lines: LogFields[] = [];
    const log = new Log({
      level: 'info',
      fields: {},
      write: (line) => lines.push(JSON.parse(line) as LogFields),
    });
    const kernel = new Kernel({ settings: settings.node, clock: new SystemClock(), log });
    kernel.provide(FrontSettingsStore, new FixedSettings(settings));
    try {
      await kernel.start();
    } catch (thrown) {
      await kernel.dispose();
      throw thrown;
    }
    const node = { kernel, settings, lines };
    this.nodes.push(node);
    return node;
  }

  /** Starts a node and waits until it has the configuration and at least `endpoints` endpoints. */
  async addReadyNode(
    endpoints: number,
    bounds?: Readonly<Record<string, number>>,
    storeUrl?: string,
  ): Promise<FrontNode> {
    const node = await this.addNode(bounds, storeUrl);
    const deployment = node.kernel.get(Deployment);
    await waitUntil(
      'the configuration and the endpoints',
      () => deployment.configuration && deployment.listAll().length >= endpoints,
    );
    return node;
  }

  async waitForMembers(): Promise<void> {
    await waitUntil('all nodes to discover each other', () =>
      this.nodes.every(
        ({ kernel }) => kernel.get(Members).listLive().length === this.nodes.length - 1,
      ),
    );
  }
}

export interface FrontResponse {
  readonly status: number;
  readonly headers: Dispatcher.ResponseData['headers'];
  readonly text: string;
}

export interface FrontRequest {
  readonly method?: 'GET' | 'POST';
  readonly body?: string;
  readonly headers?: Readonly<Record<string, string>>;
}

let lastRequest = 0;

/** Sends a request as a caller does. @throws when the response is cut off. */
export async function callFront(
  { settings }: Pick<FrontNode, 'settings'>,
  target: string,
  { method = 'GET', body, headers = {} }: FrontRequest = {},
): Promise<FrontResponse> {
  lastRequest += 1;
  // Passes the path unchanged; a URL would be normalised.
  const response = await getGlobalDispatcher().request({
    origin: `http://${settings.node.callerAddress}`,
    path: target,
    method,
    body,
    headers: {
      host: HOST,
      authorization: 'Token key-1',
      'x-bramleyvane-request-id': `request-${lastRequest}`,
      'x-bramleyvane-deadline-ms': '4000',
      ...headers,
    },
  });
  return {
    status: response.statusCode,
    headers: response.headers,
    text: await response.body.text(),
  };
}

/** Headers of a request for a generation. */
export const GENERATION_HEADERS = {
  'x-bramleyvane-model': 'm',
  'x-bramleyvane-token-usage': '400,4000',
  'x-bramleyvane-length-hint': '2000',
  'x-bramleyvane-prompt-prefix': 'aa:400',
} as const;
