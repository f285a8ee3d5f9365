/**
 * A plain service on a raw TCP socket, so that tests can choose the moment at which it fails.
 */
import { createServer, type AddressInfo, type Socket } from 'node:net';

const HEAD_END = '\r\n\r\n';

/** What the service does. A call counts as run once its head and body have arrived completely. */
export type RawBehaviour =
  | 'answer'
  | 'reset on accept'
  | 'close on accept'
  | 'stop listening and reset on accept'
  | 'reset in the request'
  | 'reset after the request'
  | 'close after the request'
  | 'stop listening and reset after the request'
  | 'reset in the answer head'
  | 'close in the answer body'
  | 'malformed answer'
  | 'an odd status'
  | 'too large an answer'
  | 'no answer';

export class RawService {
  behaviour: RawBehaviour = 'answer';

  connections = 0;

  /** Paths of the complete requests, in order of arrival. */
  readonly requests: string[] = [];

  private readonly sockets = new Set<Socket>();

  private held: ReadonlyArray<() => void> = [];

  private isHolding = false;

  private readonly server = createServer((socket) => {
    this.connections += 1;
    this.sockets.add(socket);
    socket.on('error', () => {});
    socket.on('close', () => this.sockets.delete(socket));
    this.accept(socket);
  });

  async start(port = 0): Promise<string> {
    await new Promise<void>((resolve) => {
      this.server.listen(port, '127.0.0.1', resolve);
    });
    return `http://127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  async stop(): Promise<void> {
    this.sockets.forEach((socket) => socket.destroy());
    await new Promise<void>((resolve) => {
      this.server.close(() => resolve());
    });
  }

  /** Whether a connection is open. */
  get isBusy(): boolean {
    return this.sockets.size > 0;
  }

  /** Holds responses until `release`. */
  hold(): void {
    this.isHolding = true;
  }

  release(): void {
    this.isHolding = false;
    this.held.forEach((respond) => respond());
    this.held = [];
  }

  private accept(socket: Socket): void {
    const { behaviour } = this;
    if (behaviour.startsWith('stop listening')) this.server.close();
    if (behaviour.endsWith('reset on accept')) socket.resetAndDestroy();
    if (behaviour === 'close on accept') socket.end();
    let received = '';
    socket.on('data', (chunk) => {
      received += chunk.toString('latin1');
      if (behaviour === 'reset in the request') socket.resetAndDestroy();
      if (!RawService.isComplete(received)) return;
      this.requests.push(received.split(' ')[1] ?? '');
      received = '';
      if (this.isHolding) this.held = [...this.held, () => this.respond(socket)];
      else this.respond(socket);
    });
  }

  private static isComplete(received: string): boolean {
    const headEnd = received.indexOf(HEAD_END);
    if (headEnd < 0) return false;
    const length = Number(/content-length: (\d+)/i.exec(received)?.[1] ?? 0);
    return received.length >= headEnd + HEAD_END.length + length;
  }

  private respond(socket: Socket): void {
    const body = `run ${this.requests.length}`;
    const head = `HTTP/1.1 201 Created\r\nx-run: ${this.requests.length}\r\n`;
    switch (this.behaviour) {
      case 'reset after the request':
      case 'stop listening and reset after the request':
        socket.resetAndDestroy();
        break;
      case 'close after the request':
        socket.end();
        break;
      case 'reset in the answer head':
        socket.write(head, () => socket.resetAndDestroy());
        break;
      case 'close in the answer body':
        socket.end(`${head}content-length: 1000${HEAD_END}${body}`);
        break;
      case 'malformed answer':
        socket.end('nonsense\r\n\r\n');
        break;
      case 'an odd status':
        socket.end(`HTTP/1.1 600 Odd\r\ncontent-length: ${body.length}${HEAD_END}${body}`);
        break;
      case 'too large an answer':
        socket.end(`${head}content-length: 5000000${HEAD_END}${'x'.repeat(5_000_000)}`);
        break;
      case 'answer':
        socket.end(`${head}content-length: ${body.length}${HEAD_END}${body}`);
        break;
      default:
    }
  }
}
