/**
 * HTTP servers of a forwarding node beside the one for callers: operator (with metrics), readiness
 * and directory.
 */
import type { Server } from 'node:http';
import { Hono } from 'hono';
import { computeConnectionBudget } from '../../decisions';
import { Plugin, registerPlugin } from '../../kernel';
import { FrontSettingsStore, HttpRoutes, type HttpAudience } from '../../services';
import {
  ClosedConnections,
  closeServers,
  createBoundedServer,
  listenOn,
  readProcessResources,
} from '../../wire';
import { createOperatorApp } from '../http/createOperatorApp';

/** @internal */
export class FrontHttpPlugin extends Plugin {
  static override readonly type = 'front-http';

  private servers: ReadonlyArray<Server> = [];

  override async start(): Promise<void> {
    const { settings } = this.kernel.get(FrontSettingsStore);
    await this.listen('operator', createOperatorApp(this.kernel), settings.node.operatorAddress);
    await this.listen('readiness', this.createApp('readiness'), settings.readinessAddress);
    if (settings.directoryAddress !== undefined) {
      await this.listen('directory', this.createApp('directory'), settings.directoryAddress);
    }
  }

  override async dispose(): Promise<void> {
    await closeServers(this.servers);
  }

  private createApp(audience: HttpAudience): Hono {
    const app = new Hono();
    this.kernel
      .getAll(HttpRoutes)
      .filter((routes) => routes.audience === audience)
      .forEach((routes) => routes.mount(app));
    return app;
  }

  private async listen(audience: HttpAudience, app: Hono, address: string): Promise<void> {
    const { connections } = this.kernel.get(FrontSettingsStore).settings;
    const budget = computeConnectionBudget(readProcessResources(connections.maxDescriptors));
    const closed = new ClosedConnections(this.kernel, audience);
    const server = createBoundedServer({
      fetch: app.fetch,
      maxConnections: budget.others,
      onClosed: (reason) => closed.record(reason),
    });
    await listenOn(server, address);
    this.servers = [...this.servers, server];
    this.kernel.log.info('listening', { address, maxConnections: budget.others });
  }
}

registerPlugin(FrontHttpPlugin);
