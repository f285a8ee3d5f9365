/**
 * HTTP routes for operation keys: `POST /v1/operations`, `GET /v1/operations/<key>`.
 */
import * as z from 'zod';
import { findKindByName, ServingError, type RunOutcome } from '../../core';
import { LimitLeases, type OperationOutcome, type Operations } from '../../services';
import type { Kernel } from '../../kernel';
import { CallerRoutes, type CallerApp, type CallerContext } from '../../wire';

const issueSchema = z.object({ kindOfWork: z.string() }).readonly();

/** An open or running operation has no settled outcome, so neither `run` nor `not-run` is true. */
const RUN_OUTCOMES = {
  open: 'unknown',
  running: 'unknown',
  closed: 'not-run',
  unknown: 'unknown',
  answered: 'run',
} as const satisfies Readonly<Record<OperationOutcome['state'], RunOutcome>>;

async function readIssueRequest(context: CallerContext): Promise<z.infer<typeof issueSchema>> {
  const text = await context.req.text();
  try {
    return issueSchema.parse(JSON.parse(text));
  } catch (thrown) {
    throw new ServingError('malformed-request', {
      detail: 'Expected a JSON object with the name of a kindOfWork.',
      cause: thrown,
    });
  }
}

/** @internal */
export class OperationRoutes extends CallerRoutes {
  constructor(
    private readonly kernel: Kernel,
    private readonly operations: Operations,
  ) {
    super();
  }

  mount(app: CallerApp): void {
    app.post('/v1/operations', async (context) => this.issue(context));
    app.get('/v1/operations/:key', async (context) => this.find(context));
  }

  private async issue(context: CallerContext): Promise<Response> {
    const { kindOfWork } = await readIssueRequest(context);
    const inForce = context.get('inForce');
    const { contract } = inForce;
    const { customer } = contract;
    const clause = findKindByName(contract, kindOfWork);
    // The call's own time limit bounds the wait for a permit; `issueTicket` refuses an unknown kind.
    const waitMs = clause?.kind.type === 'call' ? clause.kind.answerWithinMs : 0;
    const slot = await this.kernel
      .get(LimitLeases)
      .acquire(inForce, 'call', this.kernel.clock.nowMs() + waitMs, context.get('requestId'));
    slot.release();
    return context.json(await this.operations.issueTicket(customer, kindOfWork), 201);
  }

  private async find(context: CallerContext): Promise<Response> {
    const { customer } = context.get('inForce').contract;
    const outcome = await this.operations.find(context.req.param('key') ?? '', customer);
    const { state } = outcome;
    const run = RUN_OUTCOMES[state];
    if (outcome.state !== 'answered') return context.json({ state, run });
    const { status, headers, body } = outcome.answer;
    const bodyBase64 = Buffer.from(body).toString('base64');
    return context.json({ state, run, answer: { status, headers, bodyBase64 } });
  }
}
