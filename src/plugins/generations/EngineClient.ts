/**
 * Client of the engine protocol (docs/design.md, section 6.4).
 *
 * Each connection carries one stream of one generation at a time, so streams can't be mixed up.
 */
import { Agent, type Dispatcher } from 'undici';
import { ServingError, type ErrorKind, type GenerationId } from '../../core';
import type { FleetEndpoint, GenerationRequest } from '../../services';
import { parseEventStream, readBoundedText } from '../../wire';
import { GENERATION_OPTIONS, type GenerationOptions } from './options';

/** @internal */
export interface EngineEvent {
  /** NaN if the engine sent no event id. */
  readonly position: number;
  readonly data: string;
}

/** One attachment to the stream of a generation. @internal */
export interface EngineConnection {
  /** Entity tag of the attachment, sent as `If-Match` with a conditional cancel. */
  readonly attachment: string;
  readonly events: AsyncIterable<EngineEvent>;
}

/** @internal */
export type CancelOutcome = 'cancelled' | 'refused' | 'unknown';

/** Data of the event that ends a stream. @internal */
export const END_OF_STREAM = '[DONE]';

function isConnectFailure(thrown: unknown): boolean {
  const { code, syscall } = thrown as { readonly code?: string; readonly syscall?: string };
  return syscall === 'connect' || code === 'UND_ERR_CONNECT_TIMEOUT';
}

async function* readEvents(body: AsyncIterable<Uint8Array>): AsyncGenerator<EngineEvent> {
  for await (const { id, event, data } of parseEventStream(body)) {
    if (event === 'error') {
      throw new ServingError('engine-lost', {
        detail: `The engine ended the stream with an error: ${data}`,
      });
    }
    yield { position: id === undefined ? NaN : Number(id), data };
  }
}

/** Maps the status of a refusal to an error kind; others count as a failure of the engine. */
function getRefusalKind(method: string, status: number): ErrorKind {
  if (status === 404) return method === 'POST' ? 'no-endpoint' : 'unknown-generation';
  if (status === 416) return 'unknown-position';
  if (status === 429 || status === 503) return 'overloaded';
  return status === 400 || status === 422 ? 'malformed-request' : 'endpoint-failed';
}

/** @internal */
export class EngineClient {
  private readonly agent: Agent;

  constructor(private readonly options: GenerationOptions = GENERATION_OPTIONS) {
    // No time limits for responses: `watchStall` detects silence, considering engine reports too.
    this.agent = new Agent({
      connect: { timeout: options.connectTimeoutMs },
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
  }

  /** Starts the generation. @throws ServingError */
  async open(
    endpoint: FleetEndpoint,
    generationId: GenerationId,
    request: GenerationRequest,
    signal: AbortSignal,
  ): Promise<EngineConnection> {
    return this.attach(endpoint, signal, {
      method: 'POST',
      path: `/v1/${request.path}`,
      headers: { 'content-type': 'application/json', 'x-request-id': generationId },
      body: JSON.stringify({ ...request.body, stream: true, priority: request.clause.kind.rank }),
    });
  }

  /** Reattaches after a position, or from the start without one. @throws ServingError */
  async resume(
    endpoint: FleetEndpoint,
    generationId: GenerationId,
    afterPosition: number | undefined,
    signal: AbortSignal,
  ): Promise<EngineConnection> {
    return this.attach(endpoint, signal, {
      method: 'GET',
      path: `/v1/generations/${generationId}`,
      headers: afterPosition === undefined ? {} : { 'last-event-id': String(afterPosition) },
    });
  }

  /** Cancels the generation unless there is a newer attachment than the given one. */
  async cancel(
    endpoint: FleetEndpoint,
    generationId: GenerationId,
    attachment: string,
  ): Promise<CancelOutcome> {
    const { statusCode, body } = await this.agent.request({
      origin: endpoint.vm.url,
      method: 'DELETE',
      path: `/v1/generations/${generationId}`,
      headers: { 'if-match': attachment },
      signal: AbortSignal.timeout(this.options.cancelTimeoutMs),
    });
    await body.dump();
    if (statusCode === 412) return 'refused';
    return statusCode < 300 ? 'cancelled' : 'unknown';
  }

  async close(): Promise<void> {
    await this.agent.destroy();
  }

  private async attach(
    endpoint: FleetEndpoint,
    signal: AbortSignal,
    request: Pick<Dispatcher.RequestOptions, 'method' | 'path' | 'headers' | 'body'>,
  ): Promise<EngineConnection> {
    const response = await this.send(endpoint, signal, request);
    if (response.statusCode !== 200) {
      // The status says what the refusal means, also when its body can't be read.
      const detail = await readBoundedText(response.body, this.options.maxRefusalBytes).catch(
        (thrown: unknown) => ServingError.from(thrown).detail,
      );
      throw new ServingError(getRefusalKind(request.method, response.statusCode), {
        detail: `${endpoint.endpointId} answered ${response.statusCode}: ${detail.slice(0, 200)}`,
      });
    }
    return {
      attachment: String(response.headers.etag ?? ''),
      events: readEvents(response.body),
    };
  }

  private async send(
    endpoint: FleetEndpoint,
    signal: AbortSignal,
    request: Pick<Dispatcher.RequestOptions, 'method' | 'path' | 'headers' | 'body'>,
  ): Promise<Dispatcher.ResponseData> {
    try {
      // Connections aren't reused: the engine may close a kept-alive connection at the moment of
      // use, and the request would then look like a lost generation.
      return await this.agent.request({
        origin: endpoint.vm.url,
        signal,
        reset: true,
        ...request,
      });
    } catch (thrown) {
      if (!isConnectFailure(thrown)) throw thrown;
      throw new ServingError('endpoint-unreachable', {
        detail: `${endpoint.endpointId} can't be reached.`,
        cause: thrown,
      });
    }
  }
}
