/**
 * Assigns work to endpoints.
 *
 * Calls of services are assigned or refused at once. Generations wait in one queue in rank order,
 * which is served when a request arrives, a reservation is released or newer reports arrive.
 */
import { ServingError, type Clock, type EndpointId, type GenerationKind } from '../../core';
import {
  FreedMemoryRate,
  InFlightReservations,
  LeastOutstandingPolicy,
  LengthEstimator,
  RecentPrefixes,
  ReserveByQuantilePolicy,
  ROUTING_OPTIONS,
  SeededRandom,
  decideAdmission,
  type EndpointView,
  type LengthForecast,
  type LengthKey,
  type RoutingContext,
  type RoutingPolicy,
  type RoutingRequest,
  type RoutingVerdict,
} from '../../decisions';
import {
  Router,
  type Assignment,
  type DecisionLog,
  type Fleet,
  type RoutedWork,
} from '../../services';
import { recordVerdict } from './recordVerdict';
import { WaitingQueue } from './WaitingQueue';
import { WaitingRequest } from './WaitingRequest';

/** @internal */
export interface EndpointRouterParameters {
  readonly fleet: Fleet;
  readonly decisions: DecisionLog;
  readonly clock: Clock;
  /** Seed of this node's random choices. */
  readonly seed: number;
  /** Aborted when the node stops. */
  readonly stopSignal: AbortSignal;
  /** Policy for generations. */
  readonly policy?: RoutingPolicy;
}

/**
 * Backlog of a model: the memory that its first waiting request lacks, the rate at which the fleet
 * frees memory, and the tokens of the requests ahead.
 */
type ModelBacklog = Pick<
  Extract<RoutingVerdict, { outcome: 'wait' }>,
  'missingTokens' | 'fleetFreedTokensPerMs'
> & { tokensAhead: number };

function createCancelledError(work: RoutedWork): ServingError {
  return new ServingError('overloaded', {
    detail: 'The request was cancelled while it waited for an engine.',
    clause: `${work.clause.path}.maxWaitMs`,
  });
}

function createLengthKey(work: RoutedWork, kind: GenerationKind): LengthKey {
  return {
    customer: work.inForce.contract.customer,
    kindOfWork: kind.name,
    maxOutputTokens: kind.maxOutputTokens,
  };
}

/** @internal */
export class EndpointRouter extends Router {
  private readonly fleet: Fleet;

  private readonly decisions: DecisionLog;

  private readonly clock: Clock;

  private readonly stopSignal: AbortSignal;

  private readonly callPolicy: RoutingPolicy;

  private readonly generationPolicy: RoutingPolicy;

  private readonly estimator = new LengthEstimator();

  private readonly reservations = new InFlightReservations();

  private readonly prefixes = new RecentPrefixes();

  private readonly freedMemoryRate = new FreedMemoryRate(ROUTING_OPTIONS);

  private readonly queue = new WaitingQueue();

  private arrivalCount = 0;

  constructor({ fleet, decisions, clock, seed, stopSignal, policy }: EndpointRouterParameters) {
    super();
    this.fleet = fleet;
    this.decisions = decisions;
    this.clock = clock;
    this.stopSignal = stopSignal;
    const random = new SeededRandom(seed);
    this.callPolicy = new LeastOutstandingPolicy(random);
    this.generationPolicy = policy ?? new ReserveByQuantilePolicy(random);
    fleet.onReports(() => this.serveWaiting());
  }

  /** Number of requests that wait for free memory at an engine. */
  get waitingCount(): number {
    return this.queue.size;
  }

  /** Number of requests that hold a reservation. */
  get reservedCount(): number {
    return this.reservations.size;
  }

  async assign(work: RoutedWork, signal: AbortSignal): Promise<Assignment> {
    const { kind } = work.clause;
    if (kind.type === 'call') return this.assignCall(work);
    return this.assignGeneration(work, kind, AbortSignal.any([signal, this.stopSignal]));
  }

  private assignCall(work: RoutedWork): Assignment {
    const verdict = this.decide(this.callPolicy, work, undefined, this.fleet.self.region);
    recordVerdict(this.decisions, work, verdict);
    if (verdict.outcome === 'route') return this.reserve(work, verdict.endpointId, undefined);
    throw new ServingError('no-endpoint', { detail: verdict.reason, clause: verdict.clause });
  }

  private async assignGeneration(
    work: RoutedWork,
    kind: GenerationKind,
    signal: AbortSignal,
  ): Promise<Assignment> {
    if (signal.aborted) throw createCancelledError(work);
    const waiting = this.createWaitingRequest(work, kind);
    this.queue.add(waiting);
    try {
      this.serveWaiting();
      const waitMs = waiting.deadlineMs - this.clock.nowMs();
      await this.clock.sleep(waitMs, AbortSignal.any([signal, waiting.settledSignal]));
    } finally {
      this.queue.remove(waiting);
    }
    if (signal.aborted) {
      waiting.assignment?.release({ complete: false, outputTokens: 0 });
      throw createCancelledError(work);
    }
    if (waiting.assignment) return waiting.assignment;
    throw waiting.error ?? this.refuseAtDeadline(waiting);
  }

  private createWaitingRequest(work: RoutedWork, kind: GenerationKind): WaitingRequest {
    const forecast = this.estimator.getForecast(createLengthKey(work, kind));
    this.arrivalCount += 1;
    return new WaitingRequest({
      work,
      kind,
      forecast,
      neededTokens:
        work.promptTokens + forecast.predictRemainingTokens(0, ROUTING_OPTIONS.typicalQuantile),
      arrivedAtMs: this.clock.nowMs(),
      arrival: this.arrivalCount,
    });
  }

  /**
   * Routes waiting requests in order. The first request of a model that has to wait holds back the
   * later requests for this model.
   */
  private serveWaiting(): void {
    const backlogs = new Map<string, ModelBacklog>();
    this.queue.list().forEach((waiting) => {
      const { model } = waiting.kind;
      const backlog = backlogs.get(model) ?? this.tryRoute(waiting);
      if (!backlog) return;
      backlogs.set(model, backlog);
      if (!waiting.isAdmitted) this.admit(waiting, backlog);
      backlog.tokensAhead += waiting.neededTokens;
    });
  }

  /** Assigns or refuses the request; returns the backlog of its model if it has to wait. */
  private tryRoute(waiting: WaitingRequest): ModelBacklog | undefined {
    const { work, forecast } = waiting;
    const { homeRegion } = work.inForce.contract;
    const verdict = this.decide(this.generationPolicy, work, forecast, homeRegion);
    if (verdict.outcome === 'wait') {
      if (!waiting.isAdmitted) recordVerdict(this.decisions, work, verdict);
      return { ...verdict, tokensAhead: 0 };
    }
    const waitedMs = Math.round(this.clock.nowMs() - waiting.arrivedAtMs);
    recordVerdict(this.decisions, work, verdict, { waitedMs });
    this.queue.remove(waiting);
    if (verdict.outcome === 'route') {
      waiting.assign(this.reserve(work, verdict.endpointId, forecast));
    } else {
      const { reason, clause } = verdict;
      waiting.refuse(new ServingError('no-endpoint', { detail: reason, clause }));
    }
    return undefined;
  }

  private admit(
    waiting: WaitingRequest,
    { missingTokens, fleetFreedTokensPerMs, tokensAhead }: ModelBacklog,
  ): void {
    const { work, kind } = waiting;
    const verdict = decideAdmission(
      {
        tokensAhead,
        missingTokens,
        ownFreedTokensPerMs: this.freedMemoryRate.tokensPerMs,
        fleetFreedTokensPerMs,
        decidingNodes: this.getContext().decidingNodes,
      },
      { clausePath: work.clause.path, maxWaitMs: kind.maxWaitMs },
      ROUTING_OPTIONS,
    );
    if (verdict.admitted) {
      waiting.admit();
      return;
    }
    this.queue.remove(waiting);
    waiting.refuse(this.refuse(work, verdict));
  }

  private refuseAtDeadline({ work, kind, neededTokens }: WaitingRequest): ServingError {
    const clause = `${work.clause.path}.maxWaitMs`;
    return this.refuse(work, {
      reason: `No engine had room within the ${kind.maxWaitMs} ms that ${clause} allows.`,
      clause,
      retryAfterMs: ROUTING_OPTIONS.minRetryAfterMs,
      measured: { neededTokens, maxWaitMs: kind.maxWaitMs },
    });
  }

  private refuse(
    work: RoutedWork,
    verdict: {
      readonly reason: string;
      readonly clause: string;
      readonly retryAfterMs: number;
      readonly measured: Readonly<Record<string, number>>;
    },
  ): ServingError {
    const { reason, clause, retryAfterMs } = verdict;
    recordVerdict(this.decisions, work, { ...verdict, outcome: 'refuse', passedOver: [] });
    return new ServingError('overloaded', { detail: reason, clause, retryAfterMs });
  }

  private decide(
    policy: RoutingPolicy,
    work: RoutedWork,
    forecast: LengthForecast | undefined,
    region: string,
  ): RoutingVerdict {
    const request: RoutingRequest = {
      customer: work.inForce.contract.customer,
      kind: work.clause.kind,
      clausePath: work.clause.path,
      region,
      promptTokens: work.promptTokens,
      excluded: work.excluded,
      forecast,
    };
    return policy.decide(request, this.listViews(work.prefixHash), this.getContext());
  }

  private listViews(prefixHash: string | undefined): ReadonlyArray<EndpointView> {
    const holders = this.prefixes.find(prefixHash);
    return this.fleet.listEndpoints().map((endpoint) => ({
      ...endpoint,
      reservations: this.reservations.list(endpoint.endpointId),
      holdsPrefix: holders.includes(endpoint.endpointId),
    }));
  }

  private getContext(): RoutingContext {
    const decidingNodes = this.fleet.listNodes().filter(({ state }) => state === 'serving').length;
    return { nowMs: this.clock.nowMs(), decidingNodes: Math.max(1, decidingNodes) };
  }

  private reserve(
    work: RoutedWork,
    endpointId: EndpointId,
    forecast: LengthForecast | undefined,
  ): Assignment {
    const endpoint = this.fleet.findEndpoint(endpointId);
    if (!endpoint) throw new ServingError('no-endpoint', { detail: `${endpointId} is gone.` });
    const handle = this.reservations.add({
      endpointId,
      startedAtMs: this.clock.nowMs(),
      rank: work.clause.kind.rank,
      promptTokens: work.promptTokens,
      producedTokens: 0,
      forecast,
    });
    if (work.prefixHash !== undefined && forecast) this.prefixes.add(work.prefixHash, endpointId);
    return {
      endpoint,
      reportTokens: (outputTokens) =>
        this.reservations.recordTokens(endpointId, handle, outputTokens),
      release: (outcome) => {
        const released = this.reservations.release(endpointId, handle);
        if (released) this.handleRelease(work, outcome);
      },
    };
  }

  private handleRelease(
    work: RoutedWork,
    { complete, outputTokens }: Parameters<Assignment['release']>[0],
  ): void {
    const { kind } = work.clause;
    if (kind.type === 'call') return;
    if (complete) this.estimator.observe(createLengthKey(work, kind), outputTokens);
    this.freedMemoryRate.record(work.promptTokens + outputTokens, this.clock.nowMs());
    this.serveWaiting();
  }
}
