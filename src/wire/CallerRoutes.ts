/**
 * Groups of hono routes for callers and operators.
 *
 * The HTTP plug-in authenticates the caller and assigns the request id before it calls a handler of
 * `CallerRoutes`, and turns an error thrown by the handler into a problem response.
 */
import type { HttpBindings } from '@hono/node-server';
import type { Context, Hono } from 'hono';
import type { RequestId } from '../core';
import { HttpRoutes, type ContractInForce } from '../services';

/** Environment of a hono application for callers. @public */
export interface CallerEnv {
  readonly Bindings: HttpBindings;
  readonly Variables: {
    readonly requestId: RequestId;
    readonly inForce: ContractInForce;
    /** Set when an error's run outcome also covers earlier calls with the operation key. */
    readonly isRunSettled?: boolean;
  };
}

/** @public */
export type CallerApp = Hono<CallerEnv>;

/** @public */
export type CallerContext = Context<CallerEnv>;

/** @public */
export abstract class CallerRoutes extends HttpRoutes<CallerApp> {
  readonly audience = 'caller';
}

/** @public */
export abstract class OperatorRoutes extends HttpRoutes<Hono> {
  readonly audience = 'operator';
}
