/**
 * HTTP routes for calls to services: `/v1/services/<service>/<path>`.
 */
import {
  findKindByName,
  findKindByService,
  ServingError,
  type CallKind,
  type KindClause,
} from '../../core';
import type { Kernel } from '../../kernel';
import {
  LimitLeases,
  Operations,
  ServiceCalls,
  type ServiceAnswer,
  type ServiceCall,
} from '../../services';
import { CallerRoutes, type CallerApp, type CallerContext } from '../../wire';

const FORWARDED_HEADERS: ReadonlyArray<string> = ['accept', 'content-type'];

async function readCall(context: CallerContext): Promise<ServiceCall> {
  const url = new URL(context.req.url);
  const path = url.pathname.replace(/^\/v1\/services\/[^/]+/, '') || '/';
  const headers = FORWARDED_HEADERS.map((name) => [name, context.req.header(name)] as const).filter(
    (entry): entry is readonly [string, string] => entry[1] !== undefined,
  );
  return {
    method: context.req.method,
    path: `${path}${url.search}`,
    headers: Object.fromEntries(headers),
    body: new Uint8Array(await context.req.arrayBuffer()),
  };
}

function findClause(context: CallerContext): KindClause<CallKind> {
  const { contract } = context.get('inForce');
  const service = context.req.param('service') ?? '';
  const name = context.req.header('x-kind-of-work');
  const found = name ? findKindByName(contract, name) : findKindByService(contract, service);
  if (found?.kind.type !== 'call' || found.kind.service !== service) {
    throw new ServingError('unknown-kind-of-work', {
      detail: `The contract has no kind of work ${name ?? ''} for the service ${service}.`,
    });
  }
  return { kind: found.kind, path: found.path };
}

function createResponse(
  context: CallerContext,
  { status, headers, body }: ServiceAnswer,
): Response {
  return context.body(new Uint8Array(body), status as 200, { ...headers });
}

/** @internal */
export class ServiceRoutes extends CallerRoutes {
  constructor(private readonly kernel: Kernel) {
    super();
  }

  mount(app: CallerApp): void {
    app.all('/v1/services/:service', async (context) => this.handle(context));
    app.all('/v1/services/:service/*', async (context) => this.handle(context));
  }

  /**
   * Counts the call against the contract's rate, waiting for a permit until the call's time limit.
   * A call with an operation key was counted when the key was issued: refusing a repeat of it here
   * would report `not-run` although the first call may be running.
   */
  private async admit(context: CallerContext, kind: CallKind): Promise<void> {
    const deadlineMs = this.kernel.clock.nowMs() + kind.answerWithinMs;
    const slot = await this.kernel
      .get(LimitLeases)
      .acquire(context.get('inForce'), 'call', deadlineMs, context.get('requestId'));
    slot.release();
  }

  private async handle(context: CallerContext): Promise<Response> {
    const clause = findClause(context);
    const call = await readCall(context);
    const details = {
      requestId: context.get('requestId'),
      inForce: context.get('inForce'),
      clause,
    };
    if (clause.kind.repeatable) {
      await this.admit(context, clause.kind);
      return createResponse(
        context,
        await this.kernel.get(ServiceCalls).runRepeatable(call, details),
      );
    }
    const key = context.req.header('idempotency-key');
    if (key) {
      context.set('isRunSettled', true);
      return createResponse(context, await this.kernel.get(Operations).run(key, call, details));
    }
    await this.admit(context, clause.kind);
    const ticket = await this.kernel
      .get(Operations)
      .issueTicket(details.inForce.contract.customer, clause.kind.name);
    throw new ServingError('operation-key-required', {
      detail: `${clause.kind.name} needs an Idempotency-Key issued by this system.`,
      clause: `${clause.path}.repeatable`,
      headers: { 'idempotency-key': ticket.key },
    });
  }
}
