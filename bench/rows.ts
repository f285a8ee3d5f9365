/** Rows of a table: the baselines, the project's policy, and that policy without each feature. */
import {
  ALL_FEATURES,
  LeastOutstandingPolicy,
  RandomPolicy,
  ReserveByQuantilePolicy,
  RoundRobinPolicy,
  TwoChoicesPolicy,
  type ReservationFeatures,
  type RoutingPolicy,
  type SeededRandom,
} from '../src/decisions';

export interface BenchRow {
  readonly name: string;
  readonly isBaseline: boolean;
  readonly createPolicy: (random: SeededRandom) => RoutingPolicy;
}

export const OUR_ROW = 'ours';

function createAblation(name: string, off: Partial<ReservationFeatures>): BenchRow {
  return {
    name: `ours without ${name}`,
    isBaseline: false,
    createPolicy: (random) => new ReserveByQuantilePolicy(random, {}, { ...ALL_FEATURES, ...off }),
  };
}

const BASELINES: ReadonlyArray<BenchRow> = [
  RoundRobinPolicy,
  RandomPolicy,
  LeastOutstandingPolicy,
  TwoChoicesPolicy,
].map((Policy) => ({
  name: Policy.type,
  isBaseline: true,
  createPolicy: (random) => new Policy(random),
}));

export const BENCH_ROWS: ReadonlyArray<BenchRow> = [
  ...BASELINES,
  {
    name: OUR_ROW,
    isBaseline: false,
    createPolicy: (random) => new ReserveByQuantilePolicy(random),
  },
  createAblation('length prediction', { predictsLength: false }),
  createAblation('own reservations', { addsOwnWork: false }),
  createAblation('other nodes', { estimatesOthers: false }),
  createAblation('spreading', { usesTwoChoices: false }),
  createAblation('prefix affinity', { usesPrefixAffinity: false }),
  createAblation('region preference', { prefersRegion: false }),
  createAblation('waiting at the node', { waitsForCapacity: false }),
];
