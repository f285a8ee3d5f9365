/**
 * Explains where a request would be placed now: what rules each endpoint out, and what the others cost.
 */
import type { EndpointId } from '../core';
import {
  canStartNow,
  computeCostTerms,
  computePlacementCost,
  rankCandidates,
  type PlacementCandidate,
  type PlacementCostTerms,
  type ResourceNeed,
} from './placement';

/** @public */
export interface ExplainedCandidate {
  readonly endpointId: EndpointId;
  readonly distance: PlacementCandidate['distance'];
  /** Undefined if the request may go there. */
  readonly ruledOutBy: string | undefined;
  /** Whether it may be chosen, as no other endpoint is better. */
  readonly isBest: boolean;
  readonly cost: number;
  readonly terms: PlacementCostTerms;
  readonly requests: number;
  readonly pendingPrefillTokens: number;
}

/** @public */
export interface ExplainedPlacement {
  readonly outcome: 'place' | 'wait' | 'refuse';
  /** Why the request waits or is refused. */
  readonly reason: string | undefined;
  /** The best first, those that are ruled out last. */
  readonly candidates: ReadonlyArray<ExplainedCandidate>;
}

const DISTANCE_TEXTS = {
  'same-data-centre': 'same data centre',
  'same-region': 'same region',
  'other-region': 'other region',
} as const;

const TERM_TEXTS: Readonly<Record<keyof PlacementCostTerms, string>> = {
  taken: 'utilisation',
  distance: 'distance',
  failures: 'recent failures',
  firstToken: 'time to first token',
  warmUp: 'warm-up',
  slowness: 'slowness',
  ejected: 'ejected',
};

function findObstacle(
  candidate: PlacementCandidate,
  need: ResourceNeed,
  mayWait: boolean,
): string | undefined {
  if (!candidate.hasConnection) return 'this node has no connection left to it';
  if (!candidate.hasQuota) return 'this node has used its share of the requests that it takes';
  if (mayWait && !canStartNow(candidate, need)) return 'it has no room for the prompt now';
  return undefined;
}

/** @param mayWait whether the request may wait at its node for room. */
export function explainPlacement(
  candidates: ReadonlyArray<PlacementCandidate>,
  need: ResourceNeed,
  mayWait: boolean,
  loadAgeMs: number,
): ExplainedPlacement {
  const ranking = rankCandidates(candidates, need, mayWait, loadAgeMs);
  const isRanked = ranking.outcome === 'rank';
  const usable = isRanked ? ranking.usable.map(({ candidate }) => candidate) : [];
  const bestIds = isRanked ? ranking.ties.map(({ candidate }) => candidate.endpointId) : [];
  const usableIds = usable.map(({ endpointId }) => endpointId);
  const others = candidates.filter(({ endpointId }) => !usableIds.includes(endpointId));
  const describe = (
    candidate: PlacementCandidate,
    ruledOutBy: string | undefined,
  ): ExplainedCandidate => ({
    endpointId: candidate.endpointId,
    distance: candidate.distance,
    ruledOutBy,
    isBest: bestIds.includes(candidate.endpointId),
    cost: computePlacementCost(candidate, need),
    terms: computeCostTerms(candidate, need),
    requests: candidate.requests,
    pendingPrefillTokens: Math.round(candidate.pendingPrefillTokens),
  });
  const ruledOut = others.map((candidate) =>
    describe(
      candidate,
      findObstacle(candidate, need, mayWait) ??
        'another prompt there would delay urgent prompts or running streams too much',
    ),
  );
  return {
    outcome: isRanked ? 'place' : ranking.outcome,
    reason: isRanked ? undefined : ranking.reason,
    candidates: [...usable.map((candidate) => describe(candidate, undefined)), ...ruledOut],
  };
}

function describeCandidate(candidate: ExplainedCandidate): string {
  const { endpointId, distance, requests, pendingPrefillTokens, ruledOutBy } = candidate;
  const load = `${requests} requests, ${pendingPrefillTokens} prompt tokens in flight`;
  const subject = `${endpointId} (${DISTANCE_TEXTS[distance]}; ${load})`;
  if (ruledOutBy !== undefined) return `${subject} is ruled out: ${ruledOutBy}.`;
  const terms = Object.entries(candidate.terms)
    .filter(([, value]) => value !== 0)
    .map(([name, value]) => {
      const text = TERM_TEXTS[name as keyof PlacementCostTerms];
      return `${text} ${(value as number).toFixed(2)}`;
    });
  return `${subject} costs ${candidate.cost.toFixed(2)}: ${terms.join(' + ') || 'nothing'}.`;
}

/** Describes the placement in sentences, one for each endpoint. */
export function describeExplainedPlacement({
  outcome,
  reason,
  candidates,
}: ExplainedPlacement): ReadonlyArray<string> {
  const best = candidates.filter(({ isBest }) => isBest).map(({ endpointId }) => endpointId);
  const chosen = best.length === 1 ? best.join() : `one of ${best.join(', ')}, at random`;
  const verdicts = {
    place: `It would go to ${chosen}.`,
    wait: `It would wait at this node: ${reason ?? ''}.`,
    refuse: `It would be refused: ${reason ?? ''}.`,
  } as const;
  return [verdicts[outcome], ...candidates.map(describeCandidate)];
}
