/**
 * The kernel of a node: lifecycle, service registry, clock, log and tasks.
 *
 * Plug-ins interact only through the abstract classes under which they register services here.
 * Several kernels can run in one process, as in the embedded mode and in tests.
 */
import { setMaxListeners } from 'node:events';
import {
  createIncarnation,
  ServingError,
  type Clock,
  type Incarnation,
  type SettingName,
  type Settings,
} from '../core';
import type { Log } from './Log';
import { KERNEL_OPTIONS } from './options';
import { getRegisteredPlugins, type Plugin, type PluginClass } from './Plugin';

/** An abstract class used as the key of a service. @public */
export type ServiceKey<T> = abstract new (...args: never[]) => T;

/** `starting`: not ready; `serving`: accepts work; `draining`: finishes running work. @public */
export type NodeState = 'starting' | 'serving' | 'draining' | 'stopped';

/** @public */
export interface KernelParameters {
  readonly settings: Settings;
  readonly clock: Clock;
  readonly log: Log;
  /** Defaults to all registered plug-ins. */
  readonly plugins?: ReadonlyArray<PluginClass>;
}

/** @public */
export class Kernel {
  readonly settings: Settings;

  readonly clock: Clock;

  readonly log: Log;

  readonly incarnation: Incarnation = createIncarnation();

  private readonly plugins: ReadonlyArray<Plugin>;

  private readonly services = new Map<ServiceKey<unknown>, unknown[]>();

  private readonly tasks = new Set<Promise<void>>();

  private readonly stopping = new AbortController();

  private readonly boundAddresses = new Map<string, string>();

  private currentState: NodeState = 'starting';

  constructor({ settings, clock, log, plugins = getRegisteredPlugins() }: KernelParameters) {
    this.settings = settings;
    this.clock = clock;
    this.log = log;
    // Every task and every link adds a listener to this signal, so their number is unbounded.
    setMaxListeners(0, this.stopping.signal);
    this.plugins = plugins.map((PluginType) => new PluginType(this));
  }

  get state(): NodeState {
    return this.currentState;
  }

  /** Aborted when the kernel is disposed of. */
  get signal(): AbortSignal {
    return this.stopping.signal;
  }

  /** Addresses that listeners are bound to, by the name of their setting. */
  get addresses(): ReadonlyMap<string, string> {
    return this.boundAddresses;
  }

  /** Records the bound address of a listener, which the settings leave open with port 0. */
  recordAddress(setting: SettingName, address: string): void {
    this.boundAddresses.set(setting, address);
  }

  /** Registers a service; a key may have several. */
  provide<T>(key: ServiceKey<T>, instance: T): void {
    this.services.set(key, [...(this.services.get(key) ?? []), instance]);
  }

  /** Returns the service of a key. @throws ServingError `internal` when no plug-in provides it. */
  get<T>(key: ServiceKey<T>): T {
    const [instance] = this.getAll(key);
    if (instance === undefined) {
      throw new ServingError('internal', { detail: `No plug-in provides ${key.name}.` });
    }
    return instance;
  }

  getAll<T>(key: ServiceKey<T>): ReadonlyArray<T> {
    return (this.services.get(key) ?? []) as ReadonlyArray<T>;
  }

  async start(): Promise<void> {
    this.plugins.forEach((plugin) => plugin.setUp());
    for (const plugin of this.plugins) await plugin.start();
    if (this.currentState === 'starting') this.currentState = 'serving';
  }

  /** Stops accepting new work and waits until running work has finished. */
  async drain(): Promise<void> {
    if (this.currentState === 'draining' || this.currentState === 'stopped') return;
    this.currentState = 'draining';
    this.log.info('drain started');
    await Promise.all(this.plugins.map(async (plugin) => plugin.drain()));
    this.log.info('drain finished');
  }

  async dispose(): Promise<void> {
    if (this.currentState === 'stopped') return;
    this.currentState = 'stopped';
    this.stopping.abort();
    for (const plugin of [...this.plugins].reverse()) await plugin.dispose();
    const timeout = new AbortController();
    await Promise.race([
      Promise.all(this.tasks),
      this.clock.sleep(KERNEL_OPTIONS.disposeTimeoutMs, timeout.signal),
    ]);
    timeout.abort();
  }

  /** Starts a long-lived task; a failure is logged and does not stop the node. */
  runTask(name: string, body: (signal: AbortSignal) => Promise<void>): void {
    const task = (async (): Promise<void> => {
      try {
        await body(this.stopping.signal);
      } catch (thrown) {
        if (!this.stopping.signal.aborted) {
          this.log.error('task failed', { task: name, cause: thrown });
        }
      }
    })();
    this.tasks.add(task);
    void task.finally(() => this.tasks.delete(task));
  }
}
