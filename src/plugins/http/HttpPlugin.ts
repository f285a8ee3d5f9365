/**
 * The HTTP listeners of a node: one for callers, one for operators.
 *
 * A drain waits until all running requests have ended and aborts none of them.
 */
import type { Server } from 'node:http';
import { createAdaptorServer } from '@hono/node-server';
import { Plugin, registerPlugin } from '../../kernel';
import { closeServers, listenOn } from '../../wire';
import { createCallerApp } from './createCallerApp';
import { createOperatorApp } from './createOperatorApp';
import { RequestTracker } from './RequestTracker';

/** @internal */
export class HttpPlugin extends Plugin {
  static override readonly type = 'http';

  private readonly tracker = new RequestTracker();

  private servers: ReadonlyArray<Server> = [];

  override async start(): Promise<void> {
    const callerServer = createAdaptorServer({
      fetch: createCallerApp(this.kernel, this.tracker).fetch,
    }) as Server;
    const operatorServer = createAdaptorServer({
      fetch: createOperatorApp(this.kernel).fetch,
    }) as Server;
    this.servers = [callerServer, operatorServer];
    const { callerAddress, operatorAddress } = this.kernel.settings;
    this.kernel.recordAddress('callerAddress', await listenOn(callerServer, callerAddress));
    this.kernel.recordAddress('operatorAddress', await listenOn(operatorServer, operatorAddress));
    const { addresses } = this.kernel;
    this.kernel.log.info('listening', {
      callerAddress: addresses.get('callerAddress'),
      operatorAddress: addresses.get('operatorAddress'),
    });
  }

  override async drain(): Promise<void> {
    await this.tracker.waitUntilIdle();
  }

  override async dispose(): Promise<void> {
    await closeServers(this.servers);
  }
}

registerPlugin(HttpPlugin);
