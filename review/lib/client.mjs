/**
 * Stand-in of a client: sends one attempt of a request to a node, on a connection that it keeps.
 */
import { Agent, request } from 'node:http';
import { Buffer } from 'node:buffer';
import { randomBytes } from 'node:crypto';

export class Client {
  /** When each request was sent. */
  sentAtMs = new Map();

  agent = new Agent({ keepAlive: true, maxSockets: Infinity });

  constructor(record, host) {
    this.record = record;
    this.host = host;
  }

  /** Resolves with what the client has seen; `status` is 0 if the connection was closed first. */
  async send(node, { method = 'POST', path, key, deadlineMs = 2_000, body, headers = {} }) {
    const requestId = randomBytes(8).toString('hex');
    const sentAtMs = this.record.nowMs;
    this.sentAtMs.set(requestId, sentAtMs);
    this.record.add(`client: sends ${requestId} (${method} ${path}) to ${node.name}`);
    const outcome = await new Promise((resolve) => {
      const [host, port] = node.frontAddress.split(':');
      const call = request({
        agent: this.agent,
        host,
        port,
        method,
        path,
        headers: {
          Host: this.host,
          'X-Bramleyvane-Request-Id': requestId,
          'X-Bramleyvane-Deadline-Ms': String(deadlineMs),
          ...(key === undefined ? {} : { Authorization: `Token ${key}` }),
          ...headers,
        },
      });
      call.on('error', ({ message }) => resolve({ status: 0, text: message, headers: {} }));
      call.on('response', (answer) => {
        const chunks = [];
        const finish = (isWhole) =>
          resolve({
            status: answer.statusCode,
            headers: answer.headers,
            text: Buffer.concat(chunks).toString(),
            isWhole,
          });
        answer.on('data', (chunk) => chunks.push(chunk));
        answer.on('error', () => finish(false));
        answer.on('end', () => finish(answer.complete));
      });
      call.end(body);
    });
    const answeredAtMs = this.record.nowMs;
    this.record.add(
      `client: ${requestId} gets ${outcome.status} after ${Math.round(answeredAtMs - sentAtMs)} ms` +
        ` ${outcome.isWhole === false ? '(broken off) ' : ''}${outcome.text.slice(0, 160)}`,
    );
    return { requestId, node: node.name, sentAtMs, answeredAtMs, ...outcome };
  }

  stop() {
    this.agent.destroy();
  }
}
