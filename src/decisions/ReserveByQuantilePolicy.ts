/**
 * Reserves memory for the predicted length of each generation, so that engines needn't preempt any.
 *
 * A generation is sent only to an engine whose memory, less all reservations, suffices at every
 * horizon of the prediction, up to a quantile. Otherwise it waits at the node, where it takes no
 * memory. Among engines with capacity two are sampled in proportion to their free memory, which
 * keeps nodes with the same reports from all choosing the same engine.
 */
import type { EndpointView, PassedOver, RoutingContext, RoutingRequest } from './EndpointView';
import {
  averageSurvival,
  createExponentialSurvival,
  computeMeanRemaining,
  getSurvival,
  isIncludedInReport,
  predictMemory,
  type MemoryPrediction,
  type OtherNodesEstimate,
} from './predictMemory';
import { computeExtraWaitMs, computeSavedPrefillMs } from './prefixAffinity';
import type { Reservation } from './InFlightReservations';
import type { RoutingOptions } from './options';
import type { SeededRandom } from './SeededRandom';
import {
  getServedClause,
  registerRoutingPolicy,
  RoutingPolicy,
  type PolicyChoice,
} from './RoutingPolicy';

/** Features of the policy, which the ablation bench disables one at a time. @internal */
export interface ReservationFeatures {
  /** Reserves memory for the predicted output; otherwise only for the prompt. */
  readonly predictsLength: boolean;
  /** Adds this node's own reservations to a delayed report. */
  readonly addsOwnWork: boolean;
  /** Adds the growth of other nodes' generations, and those sent since the report was taken. */
  readonly estimatesOthers: boolean;
  /** Samples two engines by free memory and takes the better; otherwise takes the best of all. */
  readonly usesTwoChoices: boolean;
  readonly usesPrefixAffinity: boolean;
  readonly prefersRegion: boolean;
  /** Lets requests wait at the node; otherwise the engine with the most free memory gets them. */
  readonly waitsForCapacity: boolean;
}

export const ALL_FEATURES: ReservationFeatures = {
  predictsLength: true,
  addsOwnWork: true,
  estimatesOthers: true,
  usesTwoChoices: true,
  usesPrefixAffinity: true,
  prefersRegion: true,
  waitsForCapacity: true,
};

interface Candidate {
  readonly endpoint: EndpointView;
  readonly memory: MemoryPrediction;
  readonly isNear: boolean;
}

function hasReport({ endpoint }: Candidate): boolean {
  return endpoint.report !== undefined;
}

/**
 * Mean output so far of the running generations. In a steady state it equals their mean remaining
 * output, so a node without observations uses it. Without it, no engine would seem to have
 * capacity.
 */
function estimateMeanOutput(usable: ReadonlyArray<EndpointView>, meanPrompt: number): number {
  const used = usable.reduce((sum, { report }) => sum + (report?.memoryUsedTokens ?? 0), 0);
  const running = usable.reduce((sum, { report }) => sum + (report?.running ?? 0), 0);
  return Math.max(1, used / Math.max(1, running) - meanPrompt);
}

function findMostFree(candidates: ReadonlyArray<Candidate>): Candidate {
  return candidates.reduce((best, candidate) =>
    candidate.memory.freeTokens > best.memory.freeTokens ? candidate : best,
  );
}

function explainCandidate({ freeTokens }: MemoryPrediction, isNear: boolean): string {
  if (freeTokens < 0) return `predicted to lack memory for ${Math.round(-freeTokens)} tokens`;
  return isNear ? 'less free memory, or not drawn' : 'in another region';
}

/** @public */
export class ReserveByQuantilePolicy extends RoutingPolicy {
  static override readonly type = 'reserve-by-quantile';

  constructor(
    random: SeededRandom,
    options: Partial<RoutingOptions> = {},
    private readonly features: ReservationFeatures = ALL_FEATURES,
  ) {
    super(random, options);
  }

  protected override choose(
    request: RoutingRequest,
    usable: ReadonlyArray<EndpointView>,
    context: RoutingContext,
  ): PolicyChoice {
    const others = this.estimateOthers(request, usable, context);
    const candidates = usable.map((endpoint) => ({
      endpoint,
      memory: this.predict(request, endpoint, context, others),
      isNear: endpoint.vm.region === request.region || !this.features.prefersRegion,
    }));
    const withCapacity = candidates.filter(
      (candidate) => !hasReport(candidate) || candidate.memory.freeTokens >= 0,
    );
    const near = withCapacity.filter(({ isNear }) => isNear);
    const eligible = near.length > 0 ? near : withCapacity;
    if (eligible.length > 0) return this.pick(request, candidates, eligible);
    return this.handleFull(request, candidates, others);
  }

  private predict(
    { promptTokens, forecast }: RoutingRequest,
    endpoint: EndpointView,
    { nowMs }: RoutingContext,
    others: OtherNodesEstimate,
  ): MemoryPrediction {
    const { addsOwnWork, predictsLength } = this.features;
    const dropForecast = <T extends Pick<Reservation, 'forecast'>>(held: T): T =>
      predictsLength ? held : { ...held, forecast: undefined };
    const view = {
      ...endpoint,
      reservations: addsOwnWork ? endpoint.reservations.map(dropForecast) : [],
    };
    const request = dropForecast({ promptTokens, producedTokens: 0, forecast });
    return predictMemory(view, nowMs, request, others, this.options);
  }

  /** Estimates the requests of other nodes, assuming that this node's own are typical of them. */
  private estimateOthers(
    { promptTokens, forecast }: RoutingRequest,
    usable: ReadonlyArray<EndpointView>,
    { nowMs, decidingNodes }: RoutingContext,
  ): OtherNodesEstimate {
    const { estimatesOthers, predictsLength } = this.features;
    if (!estimatesOthers || !predictsLength) {
      return { survival: averageSurvival([]), promptTokens: 0, unreported: 0 };
    }
    const own = usable.flatMap(({ reservations }) => reservations);
    const unreported = usable.reduce((sum, { reportAgeMs, reservations }) => {
      const isShown = (held: Reservation): boolean =>
        isIncludedInReport(held, nowMs - reportAgeMs, this.options);
      return sum + reservations.filter((held) => !isShown(held)).length;
    }, 0);
    const prompts = own.reduce((sum, held) => sum + held.promptTokens, promptTokens);
    const meanPrompt = prompts / (own.length + 1);
    const known = [...own, { forecast, producedTokens: 0 }].filter(
      (held) => held.forecast?.getBasis(held.producedTokens) !== 'contract',
    );
    return {
      survival:
        known.length > 0
          ? averageSurvival(known.map(getSurvival))
          : createExponentialSurvival(estimateMeanOutput(usable, meanPrompt)),
      promptTokens: meanPrompt,
      unreported: (unreported * (decidingNodes - 1)) / usable.length,
    };
  }

  private pick(
    request: RoutingRequest,
    candidates: ReadonlyArray<Candidate>,
    eligible: ReadonlyArray<Candidate>,
  ): PolicyChoice {
    const sampled = this.features.usesTwoChoices
      ? this.sampleByFreeMemory(eligible)
      : findMostFree(eligible);
    const chosen = this.features.usesPrefixAffinity
      ? this.preferPrefixHolder(request, eligible, sampled)
      : sampled;
    const why =
      chosen === sampled ? 'room for the predicted length' : 'room, and the prompt prefix cached';
    return {
      outcome: 'route',
      chosen: chosen.endpoint,
      reason: `The engine has ${why}.`,
      clause: getServedClause(request),
      passedOver: this.explain(candidates, chosen),
      measured: {
        promptTokens: request.promptTokens,
        freeTokens: Math.round(chosen.memory.freeTokens),
        reportAgeMs: Math.round(chosen.endpoint.reportAgeMs),
        ownOutstanding: chosen.endpoint.reservations.length,
      },
    };
  }

  private sampleByFreeMemory(eligible: ReadonlyArray<Candidate>): Candidate {
    const weights = eligible.map(({ memory }) => Math.max(1, memory.freeTokens));
    const first = eligible[this.random.nextWeightedIndex(weights)] as Candidate;
    const second = eligible[this.random.nextWeightedIndex(weights)] as Candidate;
    return findMostFree([first, second]);
  }

  /** Prefers a cached prefix if it saves more time than running beside more generations costs. */
  private preferPrefixHolder(
    request: RoutingRequest,
    eligible: ReadonlyArray<Candidate>,
    sampled: Candidate,
  ): Candidate {
    if (sampled.endpoint.holdsPrefix) return sampled;
    const holder = eligible.find(({ endpoint }) => endpoint.holdsPrefix);
    if (!holder) return sampled;
    const outputTokens = request.forecast?.predictRemainingTokens(0, 0.5) ?? 0;
    const extraRunning = holder.memory.running - sampled.memory.running;
    const extraWaitMs = computeExtraWaitMs(extraRunning, outputTokens, this.options);
    return computeSavedPrefillMs(request.promptTokens, this.options) > extraWaitMs
      ? holder
      : sampled;
  }

  private handleFull(
    request: RoutingRequest,
    candidates: ReadonlyArray<Candidate>,
    { survival }: OtherNodesEstimate,
  ): PolicyChoice {
    const usedTokens = candidates.reduce(
      (sum, { endpoint }) => sum + (endpoint.report?.memoryUsedTokens ?? 0),
      0,
    );
    const remainingMs = Math.max(1, computeMeanRemaining(survival)) * this.options.tokenGapMs;
    const mostFree = findMostFree(candidates);
    // A generation that doesn't fit even into an empty engine would wait for ever.
    const isIdle = mostFree.memory.running === 0;
    if (isIdle || !this.features.waitsForCapacity) {
      return this.pick(request, candidates, [mostFree]);
    }
    return {
      outcome: 'wait',
      reason: `No engine has room for the predicted length of ${request.kind.name}.`,
      clause: `${request.clausePath}.maxWaitMs`,
      passedOver: this.explain(candidates),
      measured: {
        promptTokens: request.promptTokens,
        missingTokens: Math.round(-mostFree.memory.freeTokens),
      },
      missingTokens: Math.max(0, -mostFree.memory.freeTokens),
      fleetFreedTokensPerMs: usedTokens / remainingMs,
    };
  }

  private explain(
    candidates: ReadonlyArray<Candidate>,
    chosen?: Candidate,
  ): ReadonlyArray<PassedOver> {
    return candidates
      .slice(0, this.options.maxPassedOver + 1)
      .filter((candidate) => candidate !== chosen)
      .map(({ endpoint, memory, isNear }) => ({
        candidate: endpoint.endpointId,
        reason: explainCandidate(memory, isNear),
      }));
  }
}

registerRoutingPolicy(ReserveByQuantilePolicy);
