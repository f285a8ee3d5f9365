/**
 * HTTP servers of a forwarding node beside the one for callers: operator (with metrics), readiness
 * and directory.
 */
import type { Server } from 'node:http';
import { createAdaptorServer } from '@hono/node-server';
import { Hono } from 'hono';
import { Plugin, registerPlugin } from '../../kernel';
import { FrontSettingsStore, HttpRoutes, type HttpAudience } from '../../services';
import { closeServers, listenOn } from '../../wire';
import { createOperatorApp } from '../http/createOperatorApp';

/** @internal */
export class FrontHttpPlugin extends Plugin {
  static override readonly type = 'front-http';

  private servers: ReadonlyArray<Server> = [];

  override async start(): Promise<void> {
    const { settings } = this.kernel.get(FrontSettingsStore);
    await this.listen(createOperatorApp(this.kernel), settings.node.operatorAddress);
    await this.listen(this.createApp('readiness'), settings.readinessAddress);
    if (settings.directoryAddress !== undefined) {
      await this.listen(this.createApp('directory'), settings.directoryAddress);
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

  private async listen(app: Hono, address: string): Promise<void> {
    const server = createAdaptorServer({ fetch: app.fetch }) as Server;
    await listenOn(server, address);
    this.servers = [...this.servers, server];
    this.kernel.log.info('listening', { address });
  }
}

registerPlugin(FrontHttpPlugin);
