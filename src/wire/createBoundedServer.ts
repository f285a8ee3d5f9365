/**
 * HTTP server of a hono application whose clients aren't trusted: few connections, small heads, short
 * timeouts.
 */
import { createServer, type RequestListener, type Server } from 'node:http';
import { createAdaptorServer, type HttpBindings } from '@hono/node-server';
import { CoalescingRequest } from './CoalescingRequest';
import { ConnectionLimiter } from './ConnectionLimiter';

const OPTIONS = {
  maxHeadBytes: 16_384,
  /** Further lines aren't kept; the applications read only a few. */
  maxHeadLines: 100,
  /** Time for the head, and for the whole request. */
  requestTimeoutMs: 10_000,
  checkIntervalMs: 1_000,
  maxPipelinedRequests: 8,
} as const;

/** @public */
export interface BoundedServerOptions {
  readonly fetch: (request: Request, environment: HttpBindings) => Response | Promise<Response>;
  readonly maxConnections: number;
  /** Called for each connection that a limit has closed. */
  readonly onClosed: (reason: string) => void;
}

/** Serves a request unless its connection has too many that are open. */
function boundPipelining(
  serve: RequestListener,
  onClosed: (reason: string) => void,
): RequestListener {
  const openRequests = new WeakMap<object, number>();
  return (request, response) => {
    const { socket } = request;
    if (socket.destroyed) return;
    const open = (openRequests.get(socket) ?? 0) + 1;
    openRequests.set(socket, open);
    response.once('close', () => openRequests.set(socket, (openRequests.get(socket) ?? 1) - 1));
    if (open <= OPTIONS.maxPipelinedRequests) {
      serve(request, response);
      return;
    }
    onClosed('pipelined requests');
    socket.destroy();
  };
}

/** Creates a server that isn't listening yet. */
export function createBoundedServer({ fetch, ...limits }: BoundedServerOptions): Server {
  const server = createAdaptorServer({
    fetch: fetch as Parameters<typeof createAdaptorServer>[0]['fetch'],
    createServer: ((_options: unknown, serve: RequestListener) =>
      createServer(
        {
          IncomingMessage: CoalescingRequest,
          maxHeaderSize: OPTIONS.maxHeadBytes,
          headersTimeout: OPTIONS.requestTimeoutMs,
          requestTimeout: OPTIONS.requestTimeoutMs,
          connectionsCheckingInterval: OPTIONS.checkIntervalMs,
        },
        boundPipelining(serve, limits.onClosed),
      )) as typeof createServer,
  }) as Server;
  server.maxHeadersCount = OPTIONS.maxHeadLines;
  new ConnectionLimiter(server, limits.maxConnections, limits.onClosed).watch();
  return server;
}
