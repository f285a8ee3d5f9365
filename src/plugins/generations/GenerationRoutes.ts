/**
 * HTTP routes for generations: completions, resume and cancel.
 */
import { ServingError } from '../../core';
import type { Kernel } from '../../kernel';
import { Generations, type CompletionPath, type GenerationReference } from '../../services';
import { CallerRoutes, type CallerApp, type CallerContext } from '../../wire';
import { StreamReceiver, type HttpReceiver } from './HttpReceiver';
import type { GenerationOptions } from './options';
import { deriveRequestFields, findGenerationClause, readCompletionBody } from './requestSchema';
import { BufferedDocumentReceiver, BufferedStreamReceiver } from './BufferedReceiver';

function readReference(context: CallerContext): GenerationReference {
  const inForce = context.get('inForce');
  return {
    requestId: context.get('requestId'),
    customer: inForce.contract.customer,
    inForce,
    token: context.req.param('token') ?? '',
  };
}

/** Completes the response, or reports a failure in the way that the receiver still can. */
async function respond(receiver: HttpReceiver, work: Promise<void>): Promise<Response> {
  try {
    await work;
  } catch (thrown) {
    return receiver.fail(ServingError.from(thrown));
  }
  return receiver.end();
}

/** @internal */
export class GenerationRoutes extends CallerRoutes {
  constructor(
    private readonly kernel: Kernel,
    private readonly options: GenerationOptions,
  ) {
    super();
  }

  mount(app: CallerApp): void {
    app.post('/v1/chat/completions', async (context) => this.run('chat/completions', context));
    app.post('/v1/completions', async (context) => this.run('completions', context));
    app.get('/v1/generations/:token', async (context) => this.resume(context));
    app.delete('/v1/generations/:token', async (context) => this.cancel(context));
  }

  private async run(path: CompletionPath, context: CallerContext): Promise<Response> {
    const body = readCompletionBody(path, await context.req.text());
    const inForce = context.get('inForce');
    const kindName = context.req.header('x-kind-of-work');
    const clause = findGenerationClause(inForce.contract, kindName, body.model);
    const isStreamed = clause.kind.delivery === 'streamed';
    const receiver = this.createReceiver(context, Boolean(body.stream), isStreamed);
    const requestId = context.get('requestId');
    const request = { requestId, inForce, clause, path, ...deriveRequestFields(body, clause) };
    return respond(receiver, this.kernel.get(Generations).run(request, receiver));
  }

  private async resume(context: CallerContext): Promise<Response> {
    const receiver = this.createReceiver(context, true, true);
    const lastEventId = context.req.header('last-event-id');
    const generations = this.kernel.get(Generations);
    return respond(receiver, generations.resume(readReference(context), lastEventId, receiver));
  }

  private async cancel(context: CallerContext): Promise<Response> {
    await this.kernel.get(Generations).cancel(readReference(context));
    return context.body(null, 204);
  }

  private createReceiver(
    context: CallerContext,
    wantsStream: boolean,
    isStreamed: boolean,
  ): HttpReceiver {
    const parameters = [context, this.kernel.clock, this.options] as const;
    if (!wantsStream) return new BufferedDocumentReceiver(...parameters);
    return isStreamed
      ? new StreamReceiver(...parameters)
      : new BufferedStreamReceiver(...parameters);
  }
}
