/**
 * Base of the stand-ins: an HTTP listener on 127.0.0.1, and a registry of types for the command line.
 *
 * A stand-in answers by the protocol of an outside system. Its control paths (`/control/…`) belong to
 * the tests, which inject faults and read counts through them.
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

/** Every stand-in listens here; nothing of a test is reachable from other machines. */
const HOST = '127.0.0.1';

/** @public */
export abstract class StandIn {
  /** Name on the command line. */
  static readonly type: string;

  protected readonly stopping = new AbortController();

  private server: Server | undefined;

  private boundUrl = '';

  /** Base URL by IP number. */
  get url(): string {
    return this.boundUrl;
  }

  /** Closes the listener and every connection, as the death of the process would. */
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

/** Reads the JSON body of a control path. */
export async function parseControlBody<S extends z.ZodType>(
  context: StandInContext,
  schema: S,
): Promise<z.infer<S>> {
  return schema.parse(await context.req.json());
}

/** Breaks the connection with a TCP reset, without an answer. */
export function resetConnection(exchange: IncomingMessage | ServerResponse): void {
  exchange.socket?.resetAndDestroy();
}

/** @public */
export interface StandInClass {
  readonly type: string;
  readonly start: (options: StandInOptions) => Promise<StandIn>;
}

const registered = new Map<string, StandInClass>();

/** Makes a stand-in known to the command line. */
export function registerStandIn(standInClass: StandInClass): void {
  registered.set(standInClass.type, standInClass);
}

export function findStandIn(type: string): StandInClass | undefined {
  return registered.get(type);
}

export function listStandInTypes(): ReadonlyArray<string> {
  return [...registered.keys()];
}
