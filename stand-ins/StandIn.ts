/**
 * Base class of the stand-ins (an HTTP server on 127.0.0.1) and the registry of their types, which
 * the command line reads.
 *
 * A stand-in is a test server that implements the protocol of an external system. Its control paths
 * (`/control/…`), which the real system doesn't have, let tests inject faults and read counters.
 */
import type { AddressInfo } from 'node:net';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createAdaptorServer, type HttpBindings } from '@hono/node-server';
import { Hono, type Context } from 'hono';
import type { z } from 'zod';

/** @public */
export interface StandInOptions {
  /** 0 lets the system choose. */
  readonly port?: number;
}

interface StandInEnv {
  readonly Bindings: HttpBindings;
}

/** @public */
export type StandInApp = Hono<StandInEnv>;

/** @public */
export type StandInContext = Context<StandInEnv>;

/** Loopback only, so that no stand-in is reachable from other machines. */
const HOST = '127.0.0.1';

/** @public */
export abstract class StandIn {
  /** Name of the type on the command line. */
  static readonly type: string;

  protected readonly stopping = new AbortController();

  private server: Server | undefined;

  private boundUrl = '';

  /** Base URL with an IP address as host; empty before the server listens. */
  get url(): string {
    return this.boundUrl;
  }

  /** Closes the listener and all connections, as a crash of the process would. */
  async stop(): Promise<void> {
    this.stopping.abort();
    const { server } = this;
    if (!server?.listening) return;
    const closed = new Promise<void>((resolve) => {
      server.close(() => resolve());
    });
    server.closeAllConnections();
    await closed;
  }

  protected abstract mount(app: StandInApp): void;

  protected async listen(port = 0): Promise<void> {
    const app: StandInApp = new Hono<StandInEnv>();
    this.mount(app);
    const server = createAdaptorServer({ fetch: app.fetch }) as Server;
    this.server = server;
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, HOST, resolve);
    });
    this.boundUrl = `http://${HOST}:${(server.address() as AddressInfo).port}`;
  }
}

/** Parses and validates the JSON body of a request to a control path. */
export async function parseControlBody<S extends z.ZodType>(
  context: StandInContext,
  schema: S,
): Promise<z.infer<S>> {
  return schema.parse(await context.req.json());
}

/** Closes the connection with a TCP reset, without a response. */
export function resetConnection(exchange: IncomingMessage | ServerResponse): void {
  exchange.socket?.resetAndDestroy();
}

/** @public */
export interface StandInClass {
  readonly type: string;
  readonly start: (options: StandInOptions) => Promise<StandIn>;
}

const registered = new Map<string, StandInClass>();

/** Makes a type of stand-in available on the command line. */
export function registerStandIn(standInClass: StandInClass): void {
  registered.set(standInClass.type, standInClass);
}

export function findStandIn(type: string): StandInClass | undefined {
  return registered.get(type);
}

export function listStandInTypes(): ReadonlyArray<string> {
  return [...registered.keys()];
}
