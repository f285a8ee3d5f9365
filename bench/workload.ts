/**
 * Generates the arrivals of one deployment from a seed.
 *
 * Lengths are lognormal: most reports are short, and a few are many times longer. Each customer has
 * its own typical length, which a node can estimate only from finished work.
 */
import { SeededRandom } from '../src/decisions';
import type { BenchKind, Deployment } from './deployments';

export interface BenchRequest {
  readonly name: string;
  readonly arrivesAtMs: number;
  readonly customer: string;
  readonly region: string;
  readonly kind: BenchKind;
  readonly promptTokens: number;
  readonly prefixHash: string;
  readonly outputTokens: number;
  /** Position of the node among those of the region, in [0, 1). */
  readonly nodePick: number;
}

/** Returns a standard normal variate (Box-Muller transform). */
function nextNormal(random: SeededRandom): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.next()));
  return radius * Math.cos(2 * Math.PI * random.next());
}

function nextLength(random: SeededRandom, kind: BenchKind, scale: number): number {
  const drawn = kind.medianOutputTokens * scale * Math.exp(kind.outputSigma * nextNormal(random));
  return Math.max(1, Math.min(kind.clause.maxOutputTokens, Math.round(drawn)));
}

interface BenchCustomer {
  readonly name: string;
  readonly region: string;
  readonly share: number;
  readonly scale: number;
}

function createCustomers(
  { customers, regions }: Deployment,
  random: SeededRandom,
): ReadonlyArray<BenchCustomer> {
  return Array.from({ length: customers }, (_, index) => ({
    name: `team-${index}`,
    region: regions[random.nextWeightedIndex(regions.map(({ share }) => share))]?.name ?? '',
    // A few large customers and many small ones.
    share: 1 / (index + 1),
    scale: 2 ** (2 * random.next() - 1),
  }));
}

export function* generateRequests(
  deployment: Deployment,
  requestsPerSecond: number,
  seed: number,
): Generator<BenchRequest> {
  const random = new SeededRandom(seed);
  const customers = createCustomers(deployment, random);
  const customerShares = customers.map(({ share }) => share);
  const kindShares = deployment.kinds.map(({ share }) => share);
  let arrivesAtMs = 0;
  for (let index = 0; ; index++) {
    arrivesAtMs += (-Math.log(1 - random.next()) * 1_000) / requestsPerSecond;
    const customer = customers[random.nextWeightedIndex(customerShares)] as BenchCustomer;
    const kind = deployment.kinds[random.nextWeightedIndex(kindShares)] as BenchKind;
    const spread = kind.promptSpreadTokens * random.next();
    yield {
      name: `r${index}`,
      arrivesAtMs,
      customer: customer.name,
      region: customer.region,
      kind,
      promptTokens: Math.round(kind.minPromptTokens + spread),
      prefixHash: `${customer.name}/${kind.clause.name}`,
      outputTokens: nextLength(random, kind, kind.isReport ? customer.scale : 1),
      nodePick: random.next(),
    };
  }
}
