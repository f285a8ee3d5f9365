/**
 * Contracts of the customers in process-level tests.
 */
import { contractSchema, hashApiKey, type Contract } from '../src/core';

export const API_KEY = 'key-of-recup-audits';

/** Returns a contract with a kind of work for each type, delivery and behaviour under test. */
export function createContract(fields: Readonly<Record<string, unknown>> = {}): Contract {
  return contractSchema.parse({
    customer: 'recup-audits',
    keyHashes: [hashApiKey(API_KEY)],
    homeRegion: 'seq',
    limits: { concurrentGenerations: 20, requestsPerSecond: 1_000 },
    kindsOfWork: [
      {
        name: 'audit-summary',
        type: 'generation',
        model: 'summary-1',
        rank: 2,
        delivery: 'streamed',
        whenCallerLeaves: 'finish',
        maxOutputTokens: 40_000,
        maxWaitMs: 60_000,
      },
      {
        name: 'draft-summary',
        type: 'generation',
        model: 'summary-1',
        rank: 2,
        delivery: 'streamed',
        whenCallerLeaves: 'cancel',
        maxOutputTokens: 40_000,
        maxWaitMs: 60_000,
      },
      {
        name: 'bin-label',
        type: 'generation',
        model: 'summary-1',
        rank: 3,
        delivery: 'whole',
        whenCallerLeaves: 'cancel',
        maxOutputTokens: 64,
        maxWaitMs: 60_000,
        attempts: 3,
      },
      {
        name: 'pickup-credit',
        type: 'call',
        service: 'credits',
        repeatable: false,
        rank: 0,
        answerWithinMs: 10_000,
      },
      {
        name: 'status-lookup',
        type: 'call',
        service: 'status',
        repeatable: true,
        rank: 1,
        answerWithinMs: 5_000,
        attempts: 2,
      },
    ],
    ...fields,
  });
}
