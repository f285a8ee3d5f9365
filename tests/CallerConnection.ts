/**
 * A caller's connection on a raw TCP socket, which stays open for several requests.
 */
import { connect, type Socket } from 'node:net';
import { once } from 'node:events';
import { HOST } from './FrontFixture';
import { waitUntil } from './waitUntil';

let lastRequest = 0;

export class CallerConnection {
  /** Everything that was received, in the encoding of the wire. */
  received = '';

  isClosed = false;

  private readUntil = 0;

  private constructor(private readonly socket: Socket) {
    socket.setEncoding('latin1');
    socket.on('data', (text: string) => {
      this.received += text;
    });
    socket.on('error', () => {});
    socket.on('close', () => {
      this.isClosed = true;
    });
  }

  static async open(address: string): Promise<CallerConnection> {
    const { hostname, port } = new URL(`http://${address}`);
    const socket = connect(Number(port), hostname);
    await once(socket, 'connect');
    return new CallerConnection(socket);
  }

  /**
   * Sends a request, or only the beginning of its body if `declaredBytes` is larger. Returns its id.
   */
  send(
    target: string,
    headers: Readonly<Record<string, string>> = {},
    body = '',
    declaredBytes = body.length,
  ): string {
    lastRequest += 1;
    const requestId = `raw-${lastRequest}`;
    const all = {
      host: HOST,
      authorization: 'Token key-1',
      'x-bramleyvane-request-id': requestId,
      'x-bramleyvane-deadline-ms': '4000',
      'content-length': String(declaredBytes),
      ...headers,
    };
    const lines = Object.entries(all).map(([name, value]) => `${name}: ${value}\r\n`);
    this.socket.write(`POST ${target} HTTP/1.1\r\n${lines.join('')}\r\n${body}`);
    return requestId;
  }

  /** Waits for the next answer; resolves with 0 if the connection ends without one. */
  async readStatus(): Promise<number> {
    return waitUntil('an answer', () => {
      const match = /HTTP\/1\.1 (\d+) /.exec(this.received.slice(this.readUntil));
      if (!match) return this.isClosed ? { status: 0 } : undefined;
      this.readUntil += match.index + match[0].length;
      return { status: Number(match[1]) };
    }).then(({ status }) => status);
  }

  close(): void {
    this.socket.destroy();
  }
}
