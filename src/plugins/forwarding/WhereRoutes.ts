/**
 * Operator route that explains where a request would go now, without sending it: `POST /v1/where`.
 */
import type { Hono } from 'hono';
import * as z from 'zod';
import { describeFault, ServingError } from '../../core';
import { describeExplainedPlacement } from '../../decisions';
import { OperatorRoutes } from '../../wire';
import type { ExplainedRequest, PlacementExplainer } from './PlacementExplainer';

const HUNDRED_PERCENT = 100;

const requestSchema = z
  .object({
    host: z.string(),
    path: z.string(),
    apiKey: z.string().optional(),
    customer: z.string().optional(),
    promptTokens: z.number().min(0).optional(),
    maxOutputTokens: z.number().min(0).default(0),
  })
  .readonly();

function describe({
  route,
  customer,
  rank,
  configurationVersion,
  services,
}: ExplainedRequest): ReadonlyArray<string> {
  const owner = customer === undefined ? 'no customer' : `customer ${customer}`;
  return [
    `Route ${route} of version ${configurationVersion}, ${owner}, rank ${rank}.`,
    ...services.flatMap(({ service, share, placement }) => [
      `Service ${service}, ${Math.round(share * HUNDRED_PERCENT)} % of the route's requests:`,
      ...describeExplainedPlacement(placement),
    ]),
  ];
}

/** @internal */
export class WhereRoutes extends OperatorRoutes {
  constructor(private readonly explainer: PlacementExplainer) {
    super();
  }

  mount(app: Hono): void {
    app.post('/v1/where', async (context) => {
      const body: unknown = await context.req.json().catch(() => undefined);
      const parsed = requestSchema.safeParse(body);
      if (!parsed.success) return context.json({ fault: describeFault(parsed.error) }, 400);
      const { apiKey, customer, promptTokens, ...rest } = parsed.data;
      try {
        const explained = this.explainer.explain({ ...rest, apiKey, customer, promptTokens });
        return context.json({ ...explained, plainWords: describe(explained) });
      } catch (thrown) {
        const { kind, detail, clause } = ServingError.from(thrown);
        const plainWords = [`It would be refused as ${kind}: ${detail}`];
        return context.json({ refused: { kind, detail, clause }, plainWords });
      }
    });
  }
}
