/**
 * Plug-ins and their registry.
 *
 * A plug-in module calls `registerPlugin` when it is loaded; the kernel builds whatever is
 * registered, in that order, and knows no plug-in by name.
 */
import type { Kernel } from './Kernel';

/** @public */
export abstract class Plugin {
  /** Unique name of the plug-in, for logs. */
  static readonly type: string;

  constructor(protected readonly kernel: Kernel) {}

  /** Provides services. The services of other plug-ins may not exist yet. */
  setUp(): void {}

  /** Starts tasks and listeners. All services exist. */
  async start(): Promise<void> {}

  /** Finishes running work after new work has been turned away. */
  async drain(): Promise<void> {}

  /** Releases everything; called in reverse order. */
  async dispose(): Promise<void> {}
}

/** @public */
export type PluginClass = (new (kernel: Kernel) => Plugin) & { readonly type: string };

const registered = new Map<string, PluginClass>();

/** Adds a plug-in to those that every kernel of the process builds. @public */
export function registerPlugin(pluginClass: PluginClass): void {
  registered.set(pluginClass.type, pluginClass);
}

export function getRegisteredPlugins(): ReadonlyArray<PluginClass> {
  return [...registered.values()];
}
