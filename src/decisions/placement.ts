/**
 * Chooses the endpoint with the lowest cost for a request.
 *
 * The cost is the endpoint's utilisation with the request added, in slots or in memory, whichever
 * is higher, plus penalties for distance, failures, slowness and a recent start. All terms have the
 * same unit: a nearer endpoint is preferred until its utilisation is higher by the penalty.
 */
import type { EndpointId } from '../core';
import { pacePrompt, type PromptPacing } from './promptPacing';

export const PLACEMENT_OPTIONS = {
  /** Penalty for an endpoint in another data centre of the same region. */
  otherDataCentreCost: 0.04,
  /** Penalty for an endpoint in another region; the link between regions is billed by volume. */
  otherRegionCost: 0.12,
  /** Penalty at a failure share of 1. */
  failureCost: 3,
  /** Penalty when the expected time to the first token equals its goal. */
  firstTokenCost: 0.6,
  /** Assumed slowness of an engine shortly after its start. */
  warmUpFactor: 2,
  /** Penalty for a plain service while it warms up after its start. */
  warmUpCost: 0.2,
  /** Utilisation by which a service may be higher for each multiple of the usual time that it saves. */
  speedWeight: 0.5,
  /** Penalty for each multiple above 1 of the usual time per token or call. */
  slownessCost: 0.25,
  /** Penalty for an ejected endpoint; high enough to use one only when all are ejected. */
  ejectedCost: 10,
  /** Candidates within this cost of the cheapest count as ties, and one is chosen at random. */
  costTieMargin: 0.02,
  /** Age of the loads at which another node has probably placed a request that they don't contain. */
  staleLoadMs: 1_000,
  /**
   * Weight of a migration target by distance. Copying the KV cache to another data centre takes
   * twice as long, and a copy over the narrow link between regions doesn't finish in time.
   */
  migrationWeights: { 'same-data-centre': 1, 'same-region': 0.35, 'other-region': 0 },
  /** Share of an engine's memory above which it starts no further prompt. */
  fullMemoryShare: 0.96,
  /** Minimum share of an engine's memory that counts if its generations can't migrate. */
  minEvacuableShare: 0.3,
  /** Share of an engine's memory up to which it accepts backups of generations of other engines. */
  maxBackupMemoryShare: 0.6,
  /** Minimum weight by free memory, so that a full engine remains a last resort for migration. */
  minFreeMemoryWeight: 0.01,
} as const;

/** @public */
export interface PlacementCandidate {
  readonly endpointId: EndpointId;
  readonly slots: number;
  /** Undefined for plain services. */
  readonly memoryTokens: number | undefined;
  /** Requests in flight from all nodes, as far as this node knows. */
  readonly requests: number;
  /** Memory that these requests use now. */
  readonly heldTokens: number;
  /** Memory that they are expected to use when they end. */
  readonly finalTokens: number;
  /** Prompt tokens not yet prefilled, of requests without a first token. */
  readonly pendingPrefillTokens: number;
  /** Part of them that this node has sent. */
  readonly ownPendingPrefillTokens?: number;
  /** Endpoints of the service in its region, including this one. */
  readonly endpointsInRegion: number;
  readonly distance: 'same-data-centre' | 'same-region' | 'other-region';
  readonly failureShare: number;
  readonly isWarmingUp: boolean;
  readonly isEjected: boolean;
  /** Time per token or call as a multiple of its service's median; 1 unless it is an outlier. */
  readonly slowness: number;
  /** Time per token of the running streams; undefined when unknown. */
  readonly paceMs?: number | undefined;
  /** Tokens of the prompt that the engine has cached, where prompts are paced. */
  readonly cachedTokens?: number;
  /** Lasting time for the same work as a multiple of the median; 1 unless it differs clearly. */
  readonly timeFactor: number;
  /** Whether this node has a free connection in its share of the endpoint's connections. */
  readonly hasConnection: boolean;
  /** False while this node's share of a request quota of the endpoint is used up. */
  readonly hasQuota: boolean;
}

/** Memory and prefill work that a request needs. @public */
export interface ResourceNeed {
  /** Memory needed at once. */
  readonly knownTokens: number;
  /** Further memory needed by the end of the request. */
  readonly growthTokens: number;
  /** Prompt tokens to prefill; 0 for a generation that resumes from a copied KV cache. */
  readonly prefillTokens: number;
  /** Prefill speed of the engines. */
  readonly tokensPerMs: number;
  /** Goal for the time to the first token. */
  readonly latencyGoalMs: number;
  /** Undefined where prompts aren't paced. */
  readonly pacing?: PromptPacing | undefined;
}

/** @public */
export type Placement =
  | {
      readonly outcome: 'place';
      readonly endpointId: EndpointId;
      readonly cost: number;
      readonly candidates: number;
      /** Utilisation of slots or memory, whichever is higher, with this request. */
      readonly takenShare: number;
      /** Prompt work ahead of the request, where prompts are paced. */
      readonly promptTokensAhead?: number;
    }
  /** Endpoints are in service, but none has free capacity now. */
  | {
      readonly outcome: 'wait';
      readonly waitsFor: 'capacity' | 'prompt-work';
      readonly reason: string;
      readonly candidates: number;
    }
  | { readonly outcome: 'refuse'; readonly reason: string; readonly candidates: number };

type NoPlacement = Exclude<Placement, { readonly outcome: 'place' }>;

/**
 * Memory in use when the request ends. All requests of an engine grow at the same rate, so the
 * others grow by little during a short request.
 */
function computePeakTokens(
  { requests, heldTokens, finalTokens }: PlacementCandidate,
  { knownTokens, growthTokens }: ResourceNeed,
): number {
  const growthOfOthers = Math.min(finalTokens - heldTokens, requests * growthTokens);
  return heldTokens + Math.max(0, growthOfOthers) + knownTokens + growthTokens;
}

/**
 * Utilisation of a plain service, corrected by its speed. Faster services are filled first, but a call
 * doesn't queue at one while a slower one has a free place: the queue would delay all calls behind it.
 */
function computeCallShare(slotShare: number, timeFactor: number): number {
  if (timeFactor === 1) return slotShare;
  if (slotShare > 1) return 1 + (slotShare - 1) * timeFactor;
  return Math.min(1, slotShare + PLACEMENT_OPTIONS.speedWeight * (timeFactor - 1));
}

/**
 * Utilisation of slots or memory, whichever is higher. Only as much memory counts as the other
 * engines of the region could take over when this engine leaves.
 */
function computeTakenShare(candidate: PlacementCandidate, need: ResourceNeed): number {
  const { slots, memoryTokens, requests, endpointsInRegion, timeFactor } = candidate;
  const slotShare = (requests + 1) / Math.max(1, slots);
  if (memoryTokens === undefined) return computeCallShare(slotShare, timeFactor);
  const evacuableShare = Math.max(
    PLACEMENT_OPTIONS.minEvacuableShare,
    (endpointsInRegion - 1) / endpointsInRegion,
  );
  return Math.max(slotShare, computePeakTokens(candidate, need) / (memoryTokens * evacuableShare));
}

/**
 * Expected time to the first token, as a multiple of its goal. Where prompts are paced, it is the
 * goal of the urgent prompts, which those of longer goals would delay.
 */
function computeFirstTokenRatio(candidate: PlacementCandidate, need: ResourceNeed): number {
  if (need.prefillTokens === 0 || need.latencyGoalMs === 0) return 0;
  const { pendingPrefillTokens, cachedTokens = 0, isWarmingUp, slowness, timeFactor } = candidate;
  const goalMs = need.pacing?.goals.urgentGoalMs ?? need.latencyGoalMs;
  const delayMs = (pendingPrefillTokens + need.prefillTokens - cachedTokens) / need.tokensPerMs;
  const passingFactor = Math.max(slowness, isWarmingUp ? PLACEMENT_OPTIONS.warmUpFactor : 1);
  const factor = passingFactor === 1 ? timeFactor : Math.max(passingFactor, timeFactor);
  return (delayMs * factor) / goalMs;
}

/** Whether the engine can start the request now, without queueing it. @internal */
export function canStartNow(
  { slots, memoryTokens, requests, heldTokens }: PlacementCandidate,
  { knownTokens }: ResourceNeed,
): boolean {
  if (memoryTokens === undefined) return true;
  const isFull = heldTokens + knownTokens > memoryTokens * PLACEMENT_OPTIONS.fullMemoryShare;
  // A request larger than the memory would wait for ever; an idle engine rejects it at once.
  return requests < slots && (!isFull || requests === 0);
}

/** Share of the engine's whole memory in use when the request ends. */
function computePeakMemoryShare(candidate: PlacementCandidate, need: ResourceNeed): number {
  return computePeakTokens(candidate, need) / (candidate.memoryTokens ?? Infinity);
}

/** Parts of a cost, in the order in which they are added up. @public */
export interface PlacementCostTerms {
  /** Utilisation of slots or memory with the request. */
  readonly taken: number;
  readonly distance: number;
  readonly failures: number;
  readonly firstToken: number;
  readonly warmUp: number;
  readonly slowness: number;
  readonly ejected: number;
}

export function computeCostTerms(
  candidate: PlacementCandidate,
  need: ResourceNeed,
): PlacementCostTerms {
  const {
    otherDataCentreCost,
    otherRegionCost,
    failureCost,
    firstTokenCost,
    warmUpCost,
    slownessCost,
    ejectedCost,
  } = PLACEMENT_OPTIONS;
  const distanceCosts = {
    'same-data-centre': 0,
    'same-region': otherDataCentreCost,
    'other-region': otherRegionCost,
  } as const;
  return {
    taken: computeTakenShare(candidate, need),
    distance: distanceCosts[candidate.distance],
    failures: failureCost * candidate.failureShare,
    firstToken: firstTokenCost * computeFirstTokenRatio(candidate, need),
    warmUp: candidate.isWarmingUp && candidate.memoryTokens === undefined ? warmUpCost : 0,
    slowness: slownessCost * (candidate.slowness - 1),
    ejected: candidate.isEjected ? ejectedCost : 0,
  };
}

export function computePlacementCost(candidate: PlacementCandidate, need: ResourceNeed): number {
  const terms = computeCostTerms(candidate, need);
  const { taken, distance, failures, firstToken, warmUp, slowness, ejected } = terms;
  return taken + distance + failures + firstToken + warmUp + slowness + ejected;
}

/**
 * Chooses an engine at random, weighted by free memory and distance, for a generation that
 * migrates. When an engine leaves, all nodes choose at the same moment from the same data; if each
 * took the emptiest engine, that engine would be overloaded.
 * @param draw uniform in [0, 1).
 */
export function chooseMigrationTarget(
  candidates: ReadonlyArray<PlacementCandidate>,
  need: ResourceNeed,
  draw: number,
): Placement {
  const { migrationWeights, minFreeMemoryWeight } = PLACEMENT_OPTIONS;
  const weighted = candidates
    .filter(({ hasQuota }) => hasQuota)
    .filter(({ isEjected, distance }) => !isEjected && migrationWeights[distance] > 0)
    .map((candidate) => {
      const takenShare = computePeakMemoryShare(candidate, need);
      const freeMemoryWeight = Math.max(minFreeMemoryWeight, Math.max(0, 1 - takenShare) ** 2);
      const weight = (freeMemoryWeight * migrationWeights[candidate.distance]) / candidate.slowness;
      return { candidate, takenShare, weight };
    });
  const total = weighted.reduce((sum, { weight }) => sum + weight, 0);
  let remaining = draw * total;
  const sampled =
    weighted.find(({ weight }) => {
      remaining -= weight;
      return remaining < 0;
    }) ?? weighted.at(-1);
  if (!sampled) {
    return {
      outcome: 'refuse',
      reason: 'no other endpoint of the service is in service in the region',
      candidates: candidates.length,
    };
  }
  return {
    outcome: 'place',
    endpointId: sampled.candidate.endpointId,
    cost: computePlacementCost(sampled.candidate, need),
    candidates: candidates.length,
    takenShare: sampled.takenShare,
  };
}

/**
 * Chooses the engine of the same region with the lowest expected memory use, to back up a
 * generation as it grows; one without quota left could not take the run over now, so others
 * go first. Undefined when all are so full that a backup would take memory that
 * requests need.
 */
export function chooseBackupEngine(
  candidates: ReadonlyArray<PlacementCandidate>,
  need: ResourceNeed,
): EndpointId | undefined {
  const { maxBackupMemoryShare, migrationWeights } = PLACEMENT_OPTIONS;
  const [best] = candidates
    .filter(({ isEjected, distance }) => !isEjected && migrationWeights[distance] > 0)
    .map((candidate) => ({
      endpointId: candidate.endpointId,
      hasQuota: candidate.hasQuota,
      share:
        (candidate.finalTokens + need.knownTokens + need.growthTokens) /
        (candidate.memoryTokens ?? Infinity),
    }))
    .filter(({ share }) => share <= maxBackupMemoryShare)
    .sort((a, b) => Number(b.hasQuota) - Number(a.hasQuota) || a.share - b.share);
  return best?.endpointId;
}

function explainNoPlacement(candidates: number, connected: number): NoPlacement {
  if (connected > 0) {
    const reason = 'no engine has room for the prompt now';
    return { outcome: 'wait', waitsFor: 'capacity', reason, candidates };
  }
  const reason =
    candidates === 0
      ? 'no endpoint of the service is known to be in service'
      : 'this node has no connection left to any endpoint of the service';
  return { outcome: 'refuse', reason, candidates };
}

/** The placement of a request that only the request quotas of endpoints keep from one. */
export function explainNoQuota(candidates: number, mayWait: boolean): NoPlacement {
  const reason = 'this node has used its shares of the request quotas of all endpoints';
  return mayWait
    ? { outcome: 'wait', waitsFor: 'capacity', reason, candidates }
    : { outcome: 'refuse', reason, candidates };
}

/** How much a request adds to the cost of the next one at the same endpoint. */
function computeCostOfOneMore(candidate: PlacementCandidate, need: ResourceNeed): number {
  const { knownTokens, growthTokens, prefillTokens } = need;
  const withOneMore = {
    ...candidate,
    requests: candidate.requests + 1,
    heldTokens: candidate.heldTokens + knownTokens,
    finalTokens: candidate.finalTokens + knownTokens + growthTokens,
    pendingPrefillTokens: candidate.pendingPrefillTokens + prefillTokens,
  };
  return computePlacementCost(withOneMore, need) - computePlacementCost(candidate, need);
}

/**
 * Cost difference within which candidates count as ties. Many nodes place by the same sums until
 * the next ones arrive. The older the sums are, the likelier is a request there that they don't
 * contain, so endpoints whose order such a request would change are equally good.
 */
function computeTieMargin(best: PlacementCandidate, need: ResourceNeed, loadAgeMs: number): number {
  const { costTieMargin, staleLoadMs } = PLACEMENT_OPTIONS;
  const unseenRequests = Math.min(1, loadAgeMs / staleLoadMs);
  return Math.max(costTieMargin, unseenRequests * computeCostOfOneMore(best, need));
}

interface CandidateCost {
  readonly candidate: PlacementCandidate;
  readonly cost: number;
}

/** @internal */
export type CandidateRanking =
  | {
      readonly outcome: 'rank';
      /** Candidates that the request may go to, cheapest first; at least one. */
      readonly usable: ReadonlyArray<CandidateCost>;
      /** Those that are equally good as the cheapest one. */
      readonly ties: ReadonlyArray<CandidateCost>;
    }
  | NoPlacement;

/** @internal */
export function rankCandidates(
  candidates: ReadonlyArray<PlacementCandidate>,
  need: ResourceNeed,
  mayWait: boolean,
  loadAgeMs: number,
): CandidateRanking {
  const connected = candidates.filter(({ hasConnection }) => hasConnection);
  const permitted = connected.filter(({ hasQuota }) => hasQuota);
  if (permitted.length === 0 && connected.length > 0) {
    return explainNoQuota(candidates.length, mayWait);
  }
  const startable = permitted.filter((candidate) => !mayWait || canStartNow(candidate, need));
  const paced = pacePrompt(startable, need);
  if (paced.outcome === 'wait') {
    return { ...paced, waitsFor: 'prompt-work', candidates: candidates.length };
  }
  const usable = paced.candidates
    .map((candidate) => ({ candidate, cost: computePlacementCost(candidate, need) }))
    .sort((a, b) => a.cost - b.cost);
  const [best] = usable;
  if (!best) return explainNoPlacement(candidates.length, connected.length);
  const tieMargin = computeTieMargin(best.candidate, need, loadAgeMs);
  const ties = usable.filter(({ cost }) => cost - best.cost < tieMargin);
  return { outcome: 'rank', usable, ties };
}

/**
 * @param draw uniform in [0, 1); chooses among ties.
 * @param mayWait whether a request that no engine can start now may wait at the node. There it
 *   doesn't block shorter requests behind it, and it goes to the first engine with free capacity.
 * @param loadAgeMs age of the loads of other nodes in the candidates.
 */
export function choosePlacement(
  candidates: ReadonlyArray<PlacementCandidate>,
  need: ResourceNeed,
  draw: number,
  mayWait = false,
  loadAgeMs = 0,
): Placement {
  const ranking = rankCandidates(candidates, need, mayWait, loadAgeMs);
  if (ranking.outcome !== 'rank') return ranking;
  const { usable, ties } = ranking;
  const chosen = (ties[Math.floor(draw * ties.length)] ?? usable[0]) as CandidateCost;
  return {
    outcome: 'place',
    endpointId: chosen.candidate.endpointId,
    cost: chosen.cost,
    candidates: candidates.length,
    takenShare: computeTakenShare(chosen.candidate, need),
    ...(need.pacing && {
      promptTokensAhead: Math.round(chosen.candidate.pendingPrefillTokens),
    }),
  };
}
