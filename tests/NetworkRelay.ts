/**
 * A TCP relay on 127.0.0.1 with which a test cuts or stalls a link.
 */
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';

/** `open`: passes bytes. `stalled`: takes connections and passes nothing. `cut`: refuses. */
export type LinkState = 'open' | 'stalled' | 'cut';

const HOST = '127.0.0.1';

interface RelayedConnection {
  readonly near: Socket;
  readonly far: Socket;
}

export class NetworkRelay {
  /** @param target `ip:port` that the relay connects to. */
  static async start(target: string): Promise<NetworkRelay> {
    const relay = new NetworkRelay(target);
    await new Promise<void>((resolve) => {
      relay.server.listen(0, HOST, resolve);
    });
    return relay;
  }

  private readonly server: Server;

  private readonly connections = new Set<RelayedConnection>();

  private state: LinkState = 'open';

  private constructor(private readonly target: string) {
    this.server = createServer({ pauseOnConnect: true }, (near) => this.accept(near));
  }

  get address(): string {
    return `${HOST}:${(this.server.address() as AddressInfo).port}`;
  }

  /** Connections that are open now. */
  get connectionCount(): number {
    return this.connections.size;
  }

  setState(state: LinkState): void {
    this.state = state;
    this.connections.forEach((connection) => this.apply(connection));
  }

  async stop(): Promise<void> {
    this.setState('cut');
    await new Promise<void>((resolve) => {
      this.server.close(() => resolve());
    });
  }

  private accept(near: Socket): void {
    if (this.state === 'cut') {
      near.destroy();
      return;
    }
    const colon = this.target.lastIndexOf(':');
    const far = connect(Number(this.target.slice(colon + 1)), this.target.slice(0, colon));
    const connection = { near, far };
    this.connections.add(connection);
    [near, far].forEach((socket) => {
      // Either end may break at any moment; the other end then learns it.
      socket.on('error', () => {});
      socket.on('close', () => this.close(connection));
    });
    this.apply(connection);
  }

  /** A paused socket fills its buffers, so the sender sees a link that accepts nothing more. */
  private apply(connection: RelayedConnection): void {
    const { near, far } = connection;
    if (this.state === 'cut') this.close(connection);
    if (this.state === 'stalled') [near, far].forEach((socket) => socket.unpipe().pause());
    if (this.state === 'open') {
      near.unpipe().pipe(far);
      far.unpipe().pipe(near);
    }
  }

  private close(connection: RelayedConnection): void {
    this.connections.delete(connection);
    connection.near.destroy();
    connection.far.destroy();
  }
}
