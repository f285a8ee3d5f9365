/**
 * The contract: each customer has one, and it is the only control that an operator has.
 *
 * Every limit, priority and allowance in the system derives from a clause of a contract. Logs and
 * responses identify a clause by its path in the document, such as `kindsOfWork[0].maxWaitMs`.
 */
import { createHash } from 'node:crypto';
import * as z from 'zod';
import { customerIdSchema } from './ids';

const nameSchema = z.string().regex(/^[a-z0-9][a-z0-9._-]{0,62}$/, 'expected a lower-case name');

const rankSchema = z.number().int().min(0).max(9);

/** A kind of work that runs a model. @public */
export const generationKindSchema = z
  .strictObject({
    name: nameSchema,
    type: z.literal('generation'),
    model: nameSchema,
    /** Scheduling priority on the node and at the engine; 0 is the highest. */
    rank: rankSchema,
    /** `streamed`: sends tokens as they are produced. `whole`: sends the complete output. */
    delivery: z.enum(['streamed', 'whole']),
    /** Whether the generation is cancelled or finished when its caller disconnects. */
    whenCallerLeaves: z.enum(['cancel', 'finish']),
    maxOutputTokens: z.number().int().min(1).max(1_000_000),
    /** Maximum wait for an engine, after which a request is refused. */
    maxWaitMs: z.number().int().min(0).max(3_600_000),
    /** Maximum number of generations started for one request; above 1 only for `whole`. */
    attempts: z.number().int().min(1).max(5).default(1),
  })
  .readonly();

/** A kind of work that calls a plain service. @public */
export const callKindSchema = z
  .strictObject({
    name: nameSchema,
    type: z.literal('call'),
    service: nameSchema,
    rank: rankSchema,
    /** False for credits, bookings and charges: such a call runs at most once. */
    repeatable: z.boolean(),
    /** Time limit of one call. */
    answerWithinMs: z.number().int().min(1).max(600_000),
    /** Maximum number of attempts; 1 for a call that may not be repeated. */
    attempts: z.number().int().min(1).max(5).default(1),
  })
  .readonly();

/** @public */
export const kindOfWorkSchema = z
  .discriminatedUnion('type', [generationKindSchema, callKindSchema])
  .superRefine((kind, context) => {
    if (kind.type === 'call' && !kind.repeatable && kind.attempts !== 1) {
      context.addIssue({
        code: 'custom',
        path: ['attempts'],
        message: 'a call that may not be repeated must have exactly 1 attempt',
      });
    }
    if (kind.type === 'generation' && kind.delivery === 'streamed' && kind.attempts !== 1) {
      context.addIssue({
        code: 'custom',
        path: ['attempts'],
        message: 'a streamed generation must have exactly 1 attempt',
      });
    }
  });

/** @public */
export const contractSchema = z
  .strictObject({
    customer: customerIdSchema,
    /** SHA-256 of each API key, in hex. */
    keyHashes: z
      .array(z.string().regex(/^[0-9a-f]{64}$/, 'expected a SHA-256 hash in hex'))
      .min(1)
      .readonly(),
    /** Region whose endpoints serve the customer while they have capacity. */
    homeRegion: nameSchema,
    limits: z
      .strictObject({
        /** Maximum number of concurrent generations of the customer in the whole fleet. */
        concurrentGenerations: z.number().int().min(1).max(100_000),
        /** Maximum request rate of the customer in the whole fleet. */
        requestsPerSecond: z.number().min(0.1).max(100_000),
      })
      .readonly(),
    kindsOfWork: z.array(kindOfWorkSchema).min(1).max(64).readonly(),
  })
  .superRefine((contract, context) => {
    const seen = new Set<string>();
    contract.kindsOfWork.forEach((kind, index) => {
      if (seen.has(kind.name)) {
        context.addIssue({
          code: 'custom',
          path: ['kindsOfWork', index, 'name'],
          message: `the name ${kind.name} is used more than once`,
        });
      }
      seen.add(kind.name);
    });
  })
  .readonly();

export type Contract = z.infer<typeof contractSchema>;
export type KindOfWork = z.infer<typeof kindOfWorkSchema>;
export type GenerationKind = z.infer<typeof generationKindSchema>;
export type CallKind = z.infer<typeof callKindSchema>;

/** A validation error in a contract, with the path of the clause. @public */
export interface ContractFault {
  readonly path: string;
  readonly message: string;
}

/** @public */
export type ContractCheckResult =
  | { readonly accepted: true; readonly contract: Contract }
  | { readonly accepted: false; readonly faults: ReadonlyArray<ContractFault> };

function formatPath(path: ReadonlyArray<PropertyKey>): string {
  return path.reduce<string>((text, part) => {
    if (typeof part === 'number') return `${text}[${part}]`;
    return text === '' ? String(part) : `${text}.${String(part)}`;
  }, '');
}

/** Validates a parsed JSON value and reports all faults together. @public */
export function checkContract(value: unknown): ContractCheckResult {
  const result = contractSchema.safeParse(value);
  if (result.success) return { accepted: true, contract: result.data };
  return {
    accepted: false,
    faults: result.error.issues.map((issue) => ({
      path: formatPath(issue.path),
      message: issue.message,
    })),
  };
}

/** Validates the JSON text of a contract; a syntax error has an empty path. @public */
export function checkContractText(text: string): ContractCheckResult {
  try {
    return checkContract(JSON.parse(text));
  } catch (thrown) {
    const message = thrown instanceof Error ? thrown.message : String(thrown);
    return { accepted: false, faults: [{ path: '', message }] };
  }
}

/** A kind of work with the path of its clause. @public */
export interface KindClause<K extends KindOfWork = KindOfWork> {
  readonly kind: K;
  readonly path: string;
}

export function findKindByName(contract: Contract, name: string): KindClause | undefined {
  const index = contract.kindsOfWork.findIndex((kind) => kind.name === name);
  const kind = contract.kindsOfWork[index];
  return kind && { kind, path: `kindsOfWork[${index}]` };
}

/** Returns the first generation kind for the model. */
export function findKindByModel(
  contract: Contract,
  model: string,
): KindClause<GenerationKind> | undefined {
  const index = contract.kindsOfWork.findIndex(
    (kind) => kind.type === 'generation' && kind.model === model,
  );
  const kind = contract.kindsOfWork[index];
  return kind?.type === 'generation' ? { kind, path: `kindsOfWork[${index}]` } : undefined;
}

/** Returns the first call kind for the service. */
export function findKindByService(
  contract: Contract,
  service: string,
): KindClause<CallKind> | undefined {
  const index = contract.kindsOfWork.findIndex(
    (kind) => kind.type === 'call' && kind.service === service,
  );
  const kind = contract.kindsOfWork[index];
  return kind?.type === 'call' ? { kind, path: `kindsOfWork[${index}]` } : undefined;
}

export function hashApiKey(apiKey: string): string {
  return createHash('sha256').update(apiKey).digest('hex');
}
