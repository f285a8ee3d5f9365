/**
 * A server that answers each request with a beginning and then bytes without end, and counts what the
 * other side reads of them.
 */
import { once } from 'node:events';
import { createServer, type AddressInfo, type Socket } from 'node:net';

const CHUNK = Buffer.alloc(65_536, 'x');

/** The server gives up here, so that a fault doesn't fill the memory of the test. */
const FLOOD_BYTES = 64 * 1_048_576;

export class FloodingServer {
  /** Includes what the sockets have buffered. */
  sentBytes = 0;

  private readonly server = createServer((socket) => {
    socket.on('error', () => {});
    socket.once('data', () => {
      socket.write(this.beginning);
      this.flood(socket);
    });
  });

  private constructor(private readonly beginning: string) {}

  static async start(beginning: string): Promise<FloodingServer> {
    const flooding = new FloodingServer(beginning);
    flooding.server.listen(0, '127.0.0.1');
    await once(flooding.server, 'listening');
    return flooding;
  }

  get url(): string {
    return `http://127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  /** Resolves when all connections have ended. */
  async stop(): Promise<void> {
    this.server.close();
    await once(this.server, 'close');
  }

  private flood(socket: Socket): void {
    const write = (): void => {
      let isAccepted = true;
      while (isAccepted && !socket.destroyed && this.sentBytes < FLOOD_BYTES) {
        this.sentBytes += CHUNK.length;
        isAccepted = socket.write(CHUNK);
      }
      if (this.sentBytes >= FLOOD_BYTES) socket.end();
    };
    socket.on('drain', write);
    write();
  }
}
