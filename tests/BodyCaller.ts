/**
 * A caller whose requests have bodies of any size and framing.
 */
import { createHash } from 'node:crypto';
import { request as sendRequest, type ClientRequest } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { splitAddress } from '../src/core';
import { HOST, type FrontNode } from './FrontFixture';

/** How a body is sent: with its length, or in chunks of a size. */
export interface BodyForm {
  readonly bytes: number;
  readonly chunkBytes: number | undefined;
  /** Pause after each chunk. */
  readonly pauseMs?: number;
}

export interface BodyAnswer {
  readonly requestId: string;
  readonly status: number;
  readonly text: string;
  /** Whether the answer ended properly; a cut one did not. */
  readonly isWhole: boolean;
}

export function hashBody(body: string | Buffer): string {
  return createHash('sha256').update(body).digest('hex');
}

async function sendChunks(
  request: ClientRequest,
  body: Buffer,
  chunkBytes: number,
  pauseMs: number,
): Promise<void> {
  for (let start = 0; start < body.length && !request.destroyed; start += chunkBytes) {
    request.write(body.subarray(start, start + chunkBytes));
    if (pauseMs > 0) await sleep(pauseMs);
  }
  request.end();
}

let lastRequest = 0;

/** Sends requests to one node, and remembers the hash of each one's body. */
export class BodyCaller {
  private readonly hashes = new Map<string, string>();

  constructor(
    private readonly node: Pick<FrontNode, 'settings'>,
    private readonly headers: Readonly<Record<string, string>> = {},
  ) {}

  /** Hash of the body that was sent with a request. */
  getHash(requestId: string): string | undefined {
    return this.hashes.get(requestId);
  }

  async call(
    method: string,
    path: string,
    { bytes, chunkBytes, pauseMs = 0 }: BodyForm,
  ): Promise<BodyAnswer> {
    lastRequest += 1;
    const requestId = `body-${lastRequest}`;
    const body = Buffer.alloc(bytes, `text ${lastRequest} `);
    this.hashes.set(requestId, hashBody(body));
    const { host, port } = splitAddress(this.node.settings.node.callerAddress);
    return new Promise((resolve) => {
      let text = '';
      let status = 0;
      const finish = (isWhole: boolean): void => resolve({ requestId, status, text, isWhole });
      const request = sendRequest({
        host,
        port,
        method,
        path,
        agent: false,
        headers: {
          Host: HOST,
          Authorization: 'Token key-1',
          'X-Bramleyvane-Request-Id': requestId,
          ...this.headers,
          ...(chunkBytes === undefined
            ? { 'Content-Length': bytes }
            : { 'Transfer-Encoding': 'chunked' }),
        },
      });
      request.on('response', (response) => {
        status = response.statusCode ?? 0;
        response.on('data', (chunk: Buffer) => {
          text += chunk.toString('latin1');
        });
        response.on('end', () => finish(true));
        response.on('error', () => finish(false));
      });
      request.on('error', () => finish(false));
      if (chunkBytes === undefined) request.end(body);
      else void sendChunks(request, body, chunkBytes, pauseMs);
    });
  }
}
