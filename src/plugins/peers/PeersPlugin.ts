/**
 * Links to the other nodes of the fleet, and the server that accepts them.
 */
import { once } from 'node:events';
import type { AddressInfo } from 'node:net';
import { WebSocketServer } from 'ws';
import { splitAddress } from '../../core';
import { Plugin, registerPlugin } from '../../kernel';
import { ControlTraffic, PeerHandler, Peers } from '../../services';
import { MessageDispatcher } from './MessageDispatcher';
import { PEER_OPTIONS } from './options';
import { PeerLinks } from './PeerLinks';
import { TrafficCounter } from './TrafficCounter';

/** @internal */
export class PeersPlugin extends Plugin {
  static override readonly type = 'peers';

  private readonly traffic = new TrafficCounter();

  private readonly links = new PeerLinks(this.kernel, this.traffic);

  private server: WebSocketServer | undefined;

  override setUp(): void {
    this.kernel.provide(Peers, this.links);
    this.kernel.provide(ControlTraffic, this.traffic);
  }

  override async start(): Promise<void> {
    this.links.setDispatcher(new MessageDispatcher(this.kernel.getAll(PeerHandler)));
    const { host, port } = splitAddress(this.kernel.settings.peerAddress);
    const server = new WebSocketServer({
      host,
      port,
      maxPayload: PEER_OPTIONS.maxFrameBytes,
      perMessageDeflate: false,
    });
    this.server = server;
    server.on('connection', (socket, request) =>
      this.links.accept(socket, `${request.socket.remoteAddress}:${request.socket.remotePort}`),
    );
    await once(server, 'listening');
    server.on('error', (cause) => this.kernel.log.error('peer listener failed', { cause }));
    const bound = server.address() as AddressInfo;
    const boundAddress = `${host}:${bound.port}`;
    this.kernel.recordAddress('peerAddress', boundAddress);
    this.kernel.log.info('peers listening', { peerAddress: boundAddress });
    this.kernel.runTask('close idle peer links', async (signal) => this.closeIdleLinks(signal));
  }

  override async dispose(): Promise<void> {
    const { server } = this;
    if (!server) return;
    server.clients.forEach((socket) => socket.terminate());
    await new Promise<void>((resolve) => {
      server.close(() => resolve());
    });
  }

  private async closeIdleLinks(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.kernel.clock.sleep(PEER_OPTIONS.idleCheckIntervalMs, signal);
      this.links.closeIdle();
    }
  }
}

registerPlugin(PeersPlugin);
