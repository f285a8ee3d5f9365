/**
 * The hono application for callers: request ids, authentication, error responses, request tracking.
 */
import { Hono } from 'hono';
import { bodyLimit } from 'hono/body-limit';
import type { ContentfulStatusCode } from 'hono/utils/http-status';
import { createRequestId, ServingError, type RequestId } from '../../core';
import type { Kernel } from '../../kernel';
import { ContractStore, HttpRoutes } from '../../services';
import { createProblem, type CallerApp, type CallerContext, type CallerEnv } from '../../wire';
import { discardBody } from './discardBody';
import { HTTP_OPTIONS } from './options';
import type { RequestTracker } from './RequestTracker';

function getBearerKey(context: CallerContext): string | undefined {
  const [scheme, key] = (context.req.header('authorization') ?? '').split(' ');
  return scheme?.toLowerCase() === 'bearer' ? key : undefined;
}

function createProblemResponse(kernel: Kernel, context: CallerContext, thrown: unknown): Response {
  const error = ServingError.from(thrown);
  if (error.kind === 'internal') {
    kernel.log.error('request failed', { path: context.req.path, cause: thrown });
  }
  const requestId = context.get('requestId') as RequestId | undefined;
  // Until the operation has been looked up, an earlier call with the same key may have run.
  const isUnsettled = context.req.header('idempotency-key') && !context.get('isRunSettled');
  const response = createProblem(error, requestId, isUnsettled ? 'unknown' : undefined);
  return context.json(response.problem, response.status as ContentfulStatusCode, response.headers);
}

async function refuseLargeBody(kernel: Kernel, context: CallerContext): Promise<Response> {
  await discardBody(context.env.incoming, kernel.clock);
  return createProblemResponse(
    kernel,
    context,
    new ServingError('request-too-large', {
      detail: `The body is over ${HTTP_OPTIONS.maxBodyBytes} bytes.`,
      // The connection can't be reused when the body didn't end before the timeout.
      headers: { connection: 'close' },
    }),
  );
}

/** @internal */
export function createCallerApp(kernel: Kernel, tracker: RequestTracker): CallerApp {
  const app = new Hono<CallerEnv>();
  const contracts = kernel.get(ContractStore);

  app.use(async (context, next) => {
    tracker.begin();
    context.env.outgoing.once('close', () => tracker.end());
    const requestId = createRequestId(kernel.settings.vmId);
    context.set('requestId', requestId);
    context.header('x-request-id', requestId);
    context.set('inForce', contracts.authenticate(getBearerKey(context)));
    await next();
  });
  app.use(
    bodyLimit({
      maxSize: HTTP_OPTIONS.maxBodyBytes,
      onError: async (context) => refuseLargeBody(kernel, context as CallerContext),
    }),
  );
  kernel
    .getAll(HttpRoutes)
    .filter((routes) => routes.audience === 'caller')
    .forEach((routes) => routes.mount(app));
  app.notFound((context) =>
    createProblemResponse(
      kernel,
      context,
      new ServingError('unknown-path', { detail: `${context.req.method} ${context.req.path}` }),
    ),
  );
  app.onError((thrown, context) => createProblemResponse(kernel, context, thrown));
  return app;
}
