/**
 * Plug-ins and their registry.
 *
 * A plug-in module calls `registerPlugin` when it is loaded; the kernel instantiates the
 * registered plug-ins in that order and refers to none by name.
 */
import type { Kernel } from './Kernel';

/** @public */
export abstract class Plugin {
  /** Unique name of the plug-in, for logs. */
  static readonly type: string;

  constructor(protected readonly kernel: Kernel) {}

  /** Registers services. The services of other plug-ins may not be registered yet. */
  setUp(): void {}

  /** Starts tasks and listeners. All services are registered. */
  async start(): Promise<void> {}

  /** Finishes running work while new work is refused. */
  async drain(): Promise<void> {}

  /** Releases all resources; called in reverse order of registration. */
  async dispose(): Promise<void> {}
}

/** @public */
export type PluginClass = (new (kernel: Kernel) => Plugin) & { readonly type: string };

const registered = new Map<string, PluginClass>();

/** Registers a plug-in, which every kernel of the process then instantiates. @public */
export function registerPlugin(pluginClass: PluginClass): void {
  registered.set(pluginClass.type, pluginClass);
}

export function getRegisteredPlugins(): ReadonlyArray<PluginClass> {
  return [...registered.values()];
}
