/**
 * Reserves memory for the predicted length of each generation, so that engines don't have to
 * preempt what they run.
 *
 * A generation is sent only to an engine whose memory, with everything promised there, suffices at
 * every predicted moment with a margin of the predicted quantile. Otherwise it waits at the node, where
 * it holds no memory. Among engines with room, two are drawn in proportion to their free memory,
 * which keeps nodes that hold the same report from all choosing the same engine.
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

/** Parts of the policy that the bench switches off one at a time. @internal */
export interface ReservationFeatures {
  /** Reserves the predicted output; otherwise only the prompt. */
  readonly predictsLength: boolean;
  /** Adds own reservations to a lagging report. */
  readonly addsOwnWork: boolean;
  /** Adds the growth of other nodes' work and what they send between reports. */
  readonly estimatesOthers: boolean;
  /** Draws two engines by free memory; otherwise takes the one with most free memory. */
  readonly usesTwoChoices: boolean;
  readonly usesPrefixAffinity: boolean;
  readonly prefersRegion: boolean;
  /** Lets work wait at the node; otherwise it is sent to the engine with most free memory. */
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

function isKnown({ endpoint }: Candidate): boolean {
  return endpoint.report !== undefined;
}

/**
 * Mean output of the generations that run now. In a steady state it equals what they have still to
 * come, which helps a node that has learnt nothing yet and would otherwise find no engine free.
 */
function estimateMeanAge(usable: ReadonlyArray<EndpointView>, meanPrompt: number): number {
  const used = usable.reduce((sum, { report }) => sum + (report?.memoryUsedTokens ?? 0), 0);
  const running = usable.reduce((sum, { report }) => sum + (report?.running ?? 0), 0);
  return Math.max(1, used / Math.max(1, running) - meanPrompt);
}

function findFreest(candidates: ReadonlyArray<Candidate>): Candidate {
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
    private readonly parts: ReservationFeatures = ALL_FEATURES,
  ) {
    super(random, options);
  }

  protected override choose(
    request: RoutingRequest,
    usable: ReadonlyArray<EndpointView>,
    context: RoutingContext,
  ): PolicyChoice {
    const others = this.assumeOthers(request, usable, context);
    const candidates = usable.map((endpoint) => ({
      endpoint,
      memory: this.predict(request, endpoint, context, others),
      isNear: endpoint.vm.region === request.region || !this.parts.prefersRegion,
    }));
    const roomy = candidates.filter(
      (candidate) => !isKnown(candidate) || candidate.memory.freeTokens >= 0,
    );
    const near = roomy.filter(({ isNear }) => isNear);
    const eligible = near.length > 0 ? near : roomy;
    if (eligible.length > 0) return this.pick(request, candidates, eligible);
    return this.handleFull(request, candidates, others);
  }

  private predict(
    { promptTokens, forecast }: RoutingRequest,
    endpoint: EndpointView,
    { nowMs }: RoutingContext,
    others: OtherNodesEstimate,
  ): MemoryPrediction {
    const { addsOwnWork, predictsLength } = this.parts;
    const hide = <T extends Pick<Reservation, 'forecast'>>(held: T): T =>
      predictsLength ? held : { ...held, forecast: undefined };
    const view = { ...endpoint, reservations: addsOwnWork ? endpoint.reservations.map(hide) : [] };
    const request = hide({ promptTokens, producedTokens: 0, forecast });
    return predictMemory(view, nowMs, request, others, this.options);
  }

  /** Takes the node's own work as typical of what other nodes have under way. */
  private assumeOthers(
    { promptTokens, forecast }: RoutingRequest,
    usable: ReadonlyArray<EndpointView>,
    { nowMs, decidingNodes }: RoutingContext,
  ): OtherNodesEstimate {
    const { estimatesOthers, predictsLength } = this.parts;
    if (!estimatesOthers || !predictsLength) {
      return { survival: averageSurvival([]), promptTokens: 0, unreported: 0 };
    }
    const own = usable.flatMap(({ reservations }) => reservations);
    const unseen = usable.reduce((sum, { reportAgeMs, reservations }) => {
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
          : createExponentialSurvival(estimateMeanAge(usable, meanPrompt)),
      promptTokens: meanPrompt,
      unreported: (unseen * (decidingNodes - 1)) / usable.length,
    };
  }

  private pick(
    request: RoutingRequest,
    candidates: ReadonlyArray<Candidate>,
    eligible: ReadonlyArray<Candidate>,
  ): PolicyChoice {
    const drawn = this.parts.usesTwoChoices
      ? this.drawByFreeMemory(eligible)
      : findFreest(eligible);
    const chosen = this.parts.usesPrefixAffinity
      ? this.followPrefix(request, eligible, drawn)
      : drawn;
    const why =
      chosen === drawn ? 'room for the predicted length' : 'room, and the start of its prompt';
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

  private drawByFreeMemory(eligible: ReadonlyArray<Candidate>): Candidate {
    const weights = eligible.map(({ memory }) => Math.max(1, memory.freeTokens));
    const first = eligible[this.random.nextWeightedIndex(weights)] as Candidate;
    const second = eligible[this.random.nextWeightedIndex(weights)] as Candidate;
    return findFreest([first, second]);
  }

  /** The saved prefill must outweigh the time lost beside more running work. */
  private followPrefix(
    request: RoutingRequest,
    eligible: ReadonlyArray<Candidate>,
    drawn: Candidate,
  ): Candidate {
    if (drawn.endpoint.holdsPrefix) return drawn;
    const holder = eligible.find(({ endpoint }) => endpoint.holdsPrefix);
    if (!holder) return drawn;
    const outputTokens = request.forecast?.predictRemainingTokens(0, 0.5) ?? 0;
    const extraRunning = holder.memory.running - drawn.memory.running;
    const extraWaitMs = computeExtraWaitMs(extraRunning, outputTokens, this.options);
    return computeSavedPrefillMs(request.promptTokens, this.options) > extraWaitMs ? holder : drawn;
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
    const freest = findFreest(candidates);
    // A generation that fits into no engine at all, even an empty one, would wait for ever.
    const isAlone = freest.memory.running === 0;
    if (isAlone || !this.parts.waitsForCapacity) {
      return this.pick(request, candidates, [freest]);
    }
    return {
      outcome: 'wait',
      reason: `No engine has room for the predicted length of ${request.kind.name}.`,
      clause: `${request.clausePath}.maxWaitMs`,
      passedOver: this.explain(candidates),
      measured: {
        promptTokens: request.promptTokens,
        missingTokens: Math.round(-freest.memory.freeTokens),
      },
      missingTokens: Math.max(0, -freest.memory.freeTokens),
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
