/**
 * Links to the other nodes of the fleet, and the server that accepts them.
 */
import { createServer, type Server } from 'node:http';
import type { Socket } from 'node:net';
import { WebSocketServer } from 'ws';
import { computeConnectionBudget } from '../../decisions';
import { Plugin, registerPlugin } from '../../kernel';
import { ControlTraffic, FrontSettingsStore, PeerHandler, Peers } from '../../services';
import {
  ClosedConnections,
  closeServers,
  ConnectionLimiter,
  listenOn,
  readProcessResources,
} from '../../wire';
import { limitHandshake } from './limitHandshake';
import { MessageDispatcher } from './MessageDispatcher';
import { PEER_OPTIONS } from './options';
import { PeerLinks } from './PeerLinks';
import { TrafficCounter } from './TrafficCounter';

const UPGRADE_REQUIRED = 426;

/** @internal */
export class PeersPlugin extends Plugin {
  static override readonly type = 'peers';

  private readonly traffic = new TrafficCounter();

  private readonly links = new PeerLinks(this.kernel, this.traffic);

  private readonly server = new WebSocketServer({
    noServer: true,
    maxPayload: PEER_OPTIONS.maxFrameBytes,
    perMessageDeflate: false,
  });

  private httpServer: Server | undefined;

  override setUp(): void {
    this.kernel.provide(Peers, this.links);
    this.kernel.provide(ControlTraffic, this.traffic);
  }

  override async start(): Promise<void> {
    this.links.setDispatcher(new MessageDispatcher(this.kernel.getAll(PeerHandler)));
    const server = this.createHttpServer();
    this.httpServer = server;
    const boundAddress = await listenOn(server, this.kernel.settings.peerAddress);
    server.on('error', (cause) => this.kernel.log.error('peer listener failed', { cause }));
    this.kernel.recordAddress('peerAddress', boundAddress);
    this.kernel.log.info('peers listening', {
      peerAddress: boundAddress,
      maxConnections: server.maxConnections,
    });
    this.kernel.runTask('close idle peer links', async (signal) => this.closeIdleLinks(signal));
  }

  override async dispose(): Promise<void> {
    this.server.clients.forEach((socket) => socket.terminate());
    if (this.httpServer) await closeServers([this.httpServer]);
  }

  /** Server of the requests that open links. */
  private createHttpServer(): Server {
    const { handshakeTimeoutMs, maxHeadBytes, maxHeadLines } = PEER_OPTIONS;
    const server = createServer(
      {
        maxHeaderSize: maxHeadBytes,
        headersTimeout: handshakeTimeoutMs,
        requestTimeout: handshakeTimeoutMs,
        connectionsCheckingInterval: handshakeTimeoutMs,
      },
      (_request, response) => {
        response.writeHead(UPGRADE_REQUIRED, { Connection: 'close' }).end();
      },
    );
    server.maxHeadersCount = maxHeadLines;
    const closed = new ClosedConnections(this.kernel, 'peers');
    const [front] = this.kernel.getAll(FrontSettingsStore);
    const resources = readProcessResources(front?.settings.connections.maxDescriptors);
    const { peers } = computeConnectionBudget(resources);
    const limiter = new ConnectionLimiter(server, peers, (reason) => closed.record(reason)).watch();
    server.on('upgrade', (request, duplex, head) => {
      const socket = duplex as Socket;
      socket.on('error', () => {});
      const endHandshakeLimit = limitHandshake(socket, () => closed.record('handshake too large'));
      this.server.handleUpgrade(request, socket, head, (link) => {
        this.links.accept(link, `${socket.remoteAddress}:${socket.remotePort}`, () => {
          endHandshakeLimit();
          limiter.exemptFromLimit(socket);
        });
      });
    });
    return server;
  }

  private async closeIdleLinks(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.kernel.clock.sleep(PEER_OPTIONS.idleCheckIntervalMs, signal);
      this.links.closeIdle();
    }
  }
}

registerPlugin(PeersPlugin);
