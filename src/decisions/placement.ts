/**
 * Choice of an endpoint for one request: the cheapest of those that may get it.
 *
 * The cost is the share of the endpoint that would be taken, in slots or in memory, whichever is
 * scarcer, with additions for distance, failures, a slow pace and a recent start. All are in the same
 * unit, so that a nearer endpoint is preferred until it is fuller by the addition.
 */
import type { EndpointId } from '../core';

export const PLACEMENT_OPTIONS = {
  /** Addition for an endpoint in another data centre of the region. */
  otherDataCentreCost: 0.04,
  /** Addition for one in another region, whose link is billed by volume. */
  otherRegionCost: 0.12,
  /** Addition at a failure share of 1. */
  failureCost: 3,
  /** Addition when a prompt waits as long for its first token as counts as prompt. */
  firstTokenCost: 0.6,
  /** How much slower an endpoint is taken to be after its start. */
  warmUpFactor: 2,
  /** Addition for a plain service while it is slow after its start. */
  warmUpCost: 0.2,
  /** Addition for each multiple of the usual pace that an endpoint takes. */
  slownessCost: 0.25,
  /** Addition for an endpoint that fails in a row; it is used only when all do. */
  ejectedCost: 10,
  /** Candidates whose costs differ by less are taken as equal and drawn from. */
  costTieMargin: 0.02,
  /**
   * Weight of a destination of copied memory by distance. A copy to another data centre takes twice
   * as long, and one over the narrow link between regions never ends in time.
   */
  migrationWeights: { 'same-data-centre': 1, 'same-region': 0.35, 'other-region': 0 },
  /** Part of its memory up to which an engine has room for another prompt. */
  fullMemoryShare: 0.96,
  /** Least part of an engine's memory that counts where its runs could go nowhere else. */
  minEvacuableShare: 0.3,
  /** Share of its memory up to which an engine keeps copies of runs of other engines. */
  maxBackupMemoryShare: 0.6,
  /** Least weight of a destination by its room, so that a full one is still tried at last. */
  minFreeMemoryWeight: 0.01,
} as const;

/** @public */
export interface PlacementCandidate {
  readonly endpointId: EndpointId;
  readonly slots: number;
  /** Undefined for plain services. */
  readonly memoryTokens: number | undefined;
  /** Requests under way from all nodes, as far as they are known. */
  readonly requests: number;
  /** Memory that they hold now. */
  readonly heldTokens: number;
  /** Memory that they are expected to hold at their ends. */
  readonly finalTokens: number;
  /** Prompt tokens there that haven't been read, of requests without a first token. */
  readonly pendingPrefillTokens: number;
  /** Endpoints of the service in its region, with this one. */
  readonly endpointsInRegion: number;
  readonly distance: 'same-data-centre' | 'same-region' | 'other-region';
  readonly failureShare: number;
  readonly isWarmingUp: boolean;
  readonly isEjected: boolean;
  /** How many times slower it works than the others of its service; 1 unless it stands out. */
  readonly slowness: number;
  /** Whether this node may send it another request on the connections that it has a share of. */
  readonly hasConnection: boolean;
}

/** Memory that a request takes: at once, and by growing until its end. @public */
export interface ResourceNeed {
  readonly knownTokens: number;
  readonly growthTokens: number;
  /** Prompt tokens to be read; 0 for a run that goes on from copied memory. */
  readonly prefillTokens: number;
  /** Speed at which engines read prompts. */
  readonly tokensPerMs: number;
  /** Time to the first token that counts as prompt. */
  readonly latencyGoalMs: number;
}

/** @public */
export type Placement =
  | {
      readonly outcome: 'place';
      readonly endpointId: EndpointId;
      readonly cost: number;
      readonly candidates: number;
      /** Share of the scarcer of slots and memory that is taken with this request. */
      readonly takenShare: number;
    }
  /** Endpoints are in service, but none has room at this moment. */
  | { readonly outcome: 'wait'; readonly reason: string; readonly candidates: number }
  | { readonly outcome: 'refuse'; readonly reason: string; readonly candidates: number };

/**
 * Memory in use when the request ends. All requests of an engine grow at the same pace, so a short
 * one sees little of the growth of the others.
 */
function computePeakTokens(
  { requests, heldTokens, finalTokens }: PlacementCandidate,
  { knownTokens, growthTokens }: ResourceNeed,
): number {
  const growthOfOthers = Math.min(finalTokens - heldTokens, requests * growthTokens);
  return heldTokens + Math.max(0, growthOfOthers) + knownTokens + growthTokens;
}

/**
 * Share of the scarcer of slots and memory. Memory counts as far as the other engines of the region
 * could take the runs over when this one leaves.
 */
function computeTakenShare(candidate: PlacementCandidate, need: ResourceNeed): number {
  const { slots, memoryTokens, requests, endpointsInRegion } = candidate;
  const slotShare = (requests + 1) / Math.max(1, slots);
  if (memoryTokens === undefined) return slotShare;
  const evacuablePart = Math.max(
    PLACEMENT_OPTIONS.minEvacuableShare,
    (endpointsInRegion - 1) / endpointsInRegion,
  );
  return Math.max(slotShare, computePeakTokens(candidate, need) / (memoryTokens * evacuablePart));
}

/** Expected wait for the first token, as a share of what counts as prompt. */
function computeFirstTokenRatio(
  { pendingPrefillTokens, isWarmingUp, slowness }: PlacementCandidate,
  need: ResourceNeed,
): number {
  if (need.prefillTokens === 0 || need.latencyGoalMs === 0) return 0;
  const delayMs = (pendingPrefillTokens + need.prefillTokens) / need.tokensPerMs;
  const factor = Math.max(slowness, isWarmingUp ? PLACEMENT_OPTIONS.warmUpFactor : 1);
  return (delayMs * factor) / need.latencyGoalMs;
}

/** Whether the engine can take the request in now, instead of letting it wait in its queue. */
function canStartNow(
  { slots, memoryTokens, requests, heldTokens }: PlacementCandidate,
  { knownTokens }: ResourceNeed,
): boolean {
  if (memoryTokens === undefined) return true;
  const isFull = heldTokens + knownTokens > memoryTokens * PLACEMENT_OPTIONS.fullMemoryShare;
  // A request that is larger than the memory would wait for ever; the engine says so at once.
  return requests < slots && (!isFull || requests === 0);
}

/** Share of the memory itself. */
function computePeakMemoryShare(candidate: PlacementCandidate, need: ResourceNeed): number {
  return computePeakTokens(candidate, need) / (candidate.memoryTokens ?? Infinity);
}

/** Cost of sending a request of a size to an endpoint. */
export function computePlacementCost(candidate: PlacementCandidate, need: ResourceNeed): number {
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
  return (
    computeTakenShare(candidate, need) +
    distanceCosts[candidate.distance] +
    failureCost * candidate.failureShare +
    firstTokenCost * computeFirstTokenRatio(candidate, need) +
    (candidate.isWarmingUp && candidate.memoryTokens === undefined ? warmUpCost : 0) +
    slownessCost * (candidate.slowness - 1) +
    (candidate.isEjected ? ejectedCost : 0)
  );
}

/**
 * Draws a destination for a run that is moved. When an engine leaves, all nodes look for room at
 * the same moment and know the same; the emptiest engine alone can't take what all would send it.
 * @param draw uniform in [0, 1).
 */
export function chooseMigrationTarget(
  candidates: ReadonlyArray<PlacementCandidate>,
  need: ResourceNeed,
  draw: number,
): Placement {
  const { migrationWeights, minFreeMemoryWeight } = PLACEMENT_OPTIONS;
  const weighted = candidates
    .filter(({ isEjected, distance }) => !isEjected && migrationWeights[distance] > 0)
    .map((candidate) => {
      const takenShare = computePeakMemoryShare(candidate, need);
      const roomWeight = Math.max(minFreeMemoryWeight, Math.max(0, 1 - takenShare) ** 2);
      const weight = (roomWeight * migrationWeights[candidate.distance]) / candidate.slowness;
      return { candidate, takenShare, weight };
    });
  const total = weighted.reduce((sum, { weight }) => sum + weight, 0);
  let left = draw * total;
  const drawn =
    weighted.find(({ weight }) => {
      left -= weight;
      return left < 0;
    }) ?? weighted.at(-1);
  if (!drawn) {
    return {
      outcome: 'refuse',
      reason: 'no other endpoint of the service is in service in the region',
      candidates: candidates.length,
    };
  }
  return {
    outcome: 'place',
    endpointId: drawn.candidate.endpointId,
    cost: computePlacementCost(drawn.candidate, need),
    candidates: candidates.length,
    takenShare: drawn.takenShare,
  };
}

/**
 * The engine of the same region with the most room for a copy of a run as it grows. Undefined when
 * all are so full that the copy would stand in the way of requests.
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
      share:
        (candidate.finalTokens + need.knownTokens + need.growthTokens) /
        (candidate.memoryTokens ?? Infinity),
    }))
    .filter(({ share }) => share <= maxBackupMemoryShare)
    .sort((a, b) => a.share - b.share);
  return best?.endpointId;
}

function explainNoPlacement(candidates: number, connected: number): Placement {
  if (connected > 0) {
    return { outcome: 'wait', reason: 'no engine has room for the prompt now', candidates };
  }
  const reason =
    candidates === 0
      ? 'no endpoint of the service is known to be in service'
      : 'this node has no connection left to any endpoint of the service';
  return { outcome: 'refuse', reason, candidates };
}

/**
 * @param draw uniform in [0, 1).
 * @param mayWait whether a request that no engine can take in now may wait at the node, where it
 *   stands in the way of no shorter one and goes to the first engine that has room.
 */
export function choosePlacement(
  candidates: ReadonlyArray<PlacementCandidate>,
  need: ResourceNeed,
  draw: number,
  mayWait = false,
): Placement {
  const connected = candidates.filter(({ hasConnection }) => hasConnection);
  const usable = connected
    .filter((candidate) => !mayWait || canStartNow(candidate, need))
    .map((candidate) => ({ candidate, cost: computePlacementCost(candidate, need) }))
    .sort((a, b) => a.cost - b.cost);
  const [best] = usable;
  if (!best) return explainNoPlacement(candidates.length, connected.length);
  const equals = usable.filter(({ cost }) => cost - best.cost < PLACEMENT_OPTIONS.costTieMargin);
  const chosen = equals[Math.floor(draw * equals.length)] ?? best;
  return {
    outcome: 'place',
    endpointId: chosen.candidate.endpointId,
    cost: chosen.cost,
    candidates: candidates.length,
    takenShare: computeTakenShare(chosen.candidate, need),
  };
}
