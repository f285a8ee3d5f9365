/**
 * Groups of HTTP paths for callers, on hono.
 *
 * The HTTP plug-in has authenticated the caller and given the request its id before a group sees
 * it; an error thrown by a handler becomes a problem answer.
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
    /** Set when errors speak for earlier copies of a call with the same operation key too. */
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
