/** Fleets and workloads that the bench simulates. */
import { generationKindSchema, type GenerationKind } from '../src/core';

export interface BenchKind {
  readonly clause: GenerationKind;
  /** Reports are the long work whose stalls and preemptions matter most. */
  readonly isReport: boolean;
  /** Share of all requests. */
  readonly share: number;
  readonly minPromptTokens: number;
  readonly promptSpreadTokens: number;
  /** Length of the prompt prefix that a customer's requests share. */
  readonly prefixTokens: number;
  readonly medianOutputTokens: number;
  /** Standard deviation of the logarithm of the length. */
  readonly outputSigma: number;
}

export interface BenchRegion {
  readonly name: string;
  readonly engines: number;
  readonly nodes: number;
  /** Share of the customers whose home region it is. */
  readonly share: number;
}

export interface Deployment {
  readonly name: string;
  readonly regions: ReadonlyArray<BenchRegion>;
  readonly customers: number;
  readonly kinds: ReadonlyArray<BenchKind>;
  readonly engineMemoryTokens: number;
  readonly measureMs: number;
}

function createClause(name: string, clause: Partial<GenerationKind>): GenerationKind {
  return generationKindSchema.parse({
    name,
    type: 'generation',
    model: 'summary-1',
    rank: 2,
    delivery: 'streamed',
    whenCallerLeaves: 'finish',
    ...clause,
  });
}

const AUDIT_SUMMARY: BenchKind = {
  clause: createClause('audit-summary', { maxOutputTokens: 40_000, maxWaitMs: 60_000 }),
  isReport: true,
  share: 0.3,
  minPromptTokens: 1_500,
  promptSpreadTokens: 2_500,
  prefixTokens: 1_000,
  medianOutputTokens: 1_000,
  outputSigma: 0.8,
};

const BIN_LABEL: BenchKind = {
  clause: createClause('bin-label', {
    rank: 3,
    delivery: 'whole',
    maxOutputTokens: 64,
    maxWaitMs: 120_000,
  }),
  isReport: false,
  share: 0.7,
  minPromptTokens: 100,
  promptSpreadTokens: 100,
  prefixTokens: 80,
  medianOutputTokens: 24,
  outputSigma: 0.4,
};

const WRITE_UP: BenchKind = {
  clause: createClause('write-up', { maxOutputTokens: 8_000, maxWaitMs: 30_000 }),
  isReport: true,
  share: 0.4,
  minPromptTokens: 800,
  promptSpreadTokens: 1_200,
  prefixTokens: 500,
  medianOutputTokens: 600,
  outputSigma: 0.7,
};

const PART_SUMMARY: BenchKind = {
  clause: createClause('part-summary', { rank: 3, maxOutputTokens: 400, maxWaitMs: 60_000 }),
  isReport: false,
  share: 0.6,
  minPromptTokens: 250,
  promptSpreadTokens: 150,
  prefixTokens: 200,
  medianOutputTokens: 90,
  outputSigma: 0.5,
};

export const DEPLOYMENTS: ReadonlyArray<Deployment> = [
  {
    name: 'recup',
    regions: [
      { name: 'seq', engines: 4, nodes: 6, share: 0.7 },
      { name: 'fnq', engines: 2, nodes: 3, share: 0.3 },
    ],
    customers: 10,
    kinds: [AUDIT_SUMMARY, BIN_LABEL],
    engineMemoryTokens: 60_000,
    measureMs: 300_000,
  },
  {
    name: 'kelanisetu',
    regions: [
      { name: 'western', engines: 4, nodes: 6, share: 0.7 },
      { name: 'central', engines: 2, nodes: 2, share: 0.3 },
    ],
    customers: 10,
    kinds: [WRITE_UP, PART_SUMMARY],
    engineMemoryTokens: 40_000,
    measureMs: 300_000,
  },
  {
    name: 'scaled',
    regions: [
      { name: 'north', engines: 24, nodes: 8, share: 0.4 },
      { name: 'middle', engines: 18, nodes: 6, share: 0.3 },
      { name: 'south', engines: 18, nodes: 6, share: 0.3 },
    ],
    customers: 200,
    kinds: [
      { ...AUDIT_SUMMARY, share: 0.15 },
      { ...BIN_LABEL, share: 0.35 },
      { ...WRITE_UP, share: 0.2 },
      { ...PART_SUMMARY, share: 0.3 },
    ],
    engineMemoryTokens: 60_000,
    measureMs: 180_000,
  },
];

/**
 * Requests per second at 100 % load: the throughput of engines that always have queued work.
 * Printed by `npm run bench -- --calibrate`.
 */
export const CAPACITY_PER_SECOND: Readonly<Record<string, number>> = {
  recup: 11.4,
  kelanisetu: 17.6,
  scaled: 148,
};
