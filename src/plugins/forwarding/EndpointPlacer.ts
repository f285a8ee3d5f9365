/**
 * Places requests on endpoints and keeps count of what this node has under way there.
 */
import {
  ServingError,
  type CallerRequestId,
  type CustomerId,
  type EndpointId,
  type ServingConfiguration,
} from '../../core';
import {
  choosePlacement,
  drawDestination,
  EndpointHealth,
  expectRemainingTokens,
  InFlightReservations,
  LengthEstimator,
  type EndpointOutcome,
  type LengthForecast,
  type LengthKey,
  type MemoryNeed,
  type PlacementCandidate,
  type ReservationHandle,
} from '../../decisions';
import type { Kernel } from '../../kernel';
import {
  Deployment,
  LoadSource,
  Members,
  type EndpointLoad,
  type KnownBackEnd,
  type PromptSize,
} from '../../services';
import type { EndpointConnections } from './EndpointConnections';
import { FORWARDING_OPTIONS } from './options';

/** What a placement needs to know of a request. @internal */
export interface PlacedWork {
  readonly requestId: CallerRequestId;
  readonly customer: CustomerId | undefined;
  readonly configuration: ServingConfiguration;
  readonly routeName: string;
  readonly service: string;
  readonly rank: number;
  readonly prompt: PromptSize | undefined;
}

/** A request's room at an endpoint, until it is released. @internal */
export interface PlacedRequest {
  readonly backEnd: KnownBackEnd;
  readonly noteTokens: (outputTokens: number) => void;
  readonly release: () => void;
}

const ANONYMOUS = 'anonymous' as CustomerId;

/** @internal */
export class EndpointPlacer extends LoadSource {
  readonly health = new EndpointHealth();

  private readonly estimator = new LengthEstimator();

  private readonly reservations = new InFlightReservations();

  /** Hints of the requests under way, by the handles of their reservations. */
  private readonly works = new Map<ReservationHandle, PlacedWork>();

  constructor(
    private readonly kernel: Kernel,
    private readonly connections: EndpointConnections,
  ) {
    super();
  }

  /**
   * Chooses an endpoint and reserves room there.
   * @param step `place` moves a run that has made `producedTokens` away from `from`.
   * @throws ServingError `no-endpoint`.
   */
  place(
    work: PlacedWork,
    excluded: ReadonlyArray<EndpointId>,
    step: 'route' | 'retry' | 'place',
    producedTokens = 0,
    from?: KnownBackEnd,
  ): PlacedRequest {
    const { clock, log } = this.kernel;
    const backEnds = this.kernel
      .get(Deployment)
      .listAssignable(work.service)
      .filter(({ endpointId }) => !excluded.includes(endpointId));
    const need = this.describeNeed(work, producedTokens);
    const near = from ?? this.kernel.settings;
    const candidates = backEnds.map((backEnd) => this.describe(work, backEnd, near.dataCentre));
    const choose = step === 'place' ? drawDestination : choosePlacement;
    const verdict = choose(candidates, need, Math.random());
    const inputs = {
      requestId: work.requestId,
      customer: work.customer,
      configurationVersion: work.configuration.version,
      clause: `routes.${work.routeName}.targets`,
      step,
      service: work.service,
      knownTokens: need.knownTokens,
      growthTokens: Math.round(need.growthTokens),
      candidates: candidates.length,
      excluded,
      confirmedAgeMs: Math.round(this.kernel.get(Deployment).getConfirmedAgeMs()),
    };
    if (verdict.outcome === 'refuse') {
      log.info('decision', { ...inputs, outcome: 'refused', reason: verdict.reason });
      throw new ServingError('no-endpoint', {
        detail: verdict.reason,
        clause: inputs.clause,
        retryAfterMs: FORWARDING_OPTIONS.retryAfterMs,
      });
    }
    const { endpointId, cost, takenShare } = verdict;
    const backEnd = backEnds.find((found) => found.endpointId === endpointId) as KnownBackEnd;
    log.info('decision', {
      ...inputs,
      outcome: 'placed',
      chosen: endpointId,
      cost: Number(cost.toFixed(3)),
      takenShare: Number(takenShare.toFixed(3)),
    });
    const handle = this.reservations.add({
      endpointId,
      startedAtMs: clock.nowMs(),
      rank: work.rank,
      promptTokens: work.prompt?.promptTokens ?? 0,
      producedTokens,
      forecast: work.prompt && this.getForecast(work),
    });
    this.works.set(handle, work);
    return {
      backEnd,
      noteTokens: (tokens) => this.reservations.noteTokens(endpointId, handle, tokens),
      release: () => {
        this.reservations.release(endpointId, handle);
        this.works.delete(handle);
      },
    };
  }

  noteOutcome(endpointId: EndpointId, outcome: EndpointOutcome): void {
    this.health.note(endpointId, outcome, this.kernel.clock.nowMs());
  }

  /** Learns from a generation that came to its end. */
  learnLength(work: PlacedWork, outputTokens: number): void {
    const key = this.getLengthKey(work);
    if (key) this.estimator.observe(key, outputTokens);
  }

  /** Tokens that a generation is still expected to make. */
  expectRemaining(work: PlacedWork, producedTokens: number): number {
    if (!work.prompt) return 0;
    return expectRemainingTokens(
      this.getForecast(work),
      work.prompt.expectedOutputTokens,
      producedTokens,
      work.prompt.maxOutputTokens,
    );
  }

  override listLoads(): ReadonlyArray<EndpointLoad> {
    return this.kernel
      .get(Deployment)
      .listAll()
      .map(({ endpointId }) => ({ endpointId, ...this.sumOwn(endpointId) }))
      .filter(({ requests }) => requests > 0);
  }

  /** @param nearDataCentre the one from which the distance counts. */
  private describe(
    work: PlacedWork,
    backEnd: KnownBackEnd,
    nearDataCentre: string,
  ): PlacementCandidate {
    const nowMs = this.kernel.clock.nowMs();
    const own = this.sumOwn(backEnd.endpointId);
    const others = this.kernel.get(Members).getLoadOfOthers(backEnd.endpointId);
    const profile = work.configuration.services.get(work.service);
    return {
      endpointId: backEnd.endpointId,
      slots: backEnd.slots,
      memoryTokens: profile?.engine?.memoryTokens,
      requests: own.requests + others.requests,
      heldTokens: own.heldTokens + others.heldTokens,
      finalTokens: own.finalTokens + others.finalTokens,
      endpointsInRegion: this.countInRegion(backEnd),
      distance: this.getDistance(backEnd.dataCentre, nearDataCentre),
      failureShare: this.health.getFailureShare(backEnd.endpointId, nowMs),
      isWarmingUp: backEnd.warmUpUntilMs > nowMs,
      isAvoided: this.health.isAvoided(backEnd.endpointId, nowMs),
      hasConnection:
        this.connections.countBusy(backEnd) < this.getConnectionShare(profile?.maxConnections),
    };
  }

  private getDistance(dataCentre: string, other: string): PlacementCandidate['distance'] {
    if (dataCentre === other) return 'same-data-centre';
    const deployment = this.kernel.get(Deployment);
    const isSameRegion = deployment.getRegion(dataCentre) === deployment.getRegion(other);
    return isSameRegion ? 'same-region' : 'other-region';
  }

  private countInRegion({ service, dataCentre }: KnownBackEnd): number {
    return this.kernel
      .get(Deployment)
      .listAssignable(service)
      .filter((other) => this.getDistance(other.dataCentre, dataCentre) !== 'other-region').length;
  }

  private getConnectionShare(maxConnections = Infinity): number {
    const nodes = this.kernel.get(Members).listLive().length + 1;
    const share = Math.floor((maxConnections * FORWARDING_OPTIONS.connectionPart) / nodes);
    return Math.max(FORWARDING_OPTIONS.minConnections, share);
  }

  private sumOwn(endpointId: EndpointId): Omit<EndpointLoad, 'endpointId'> {
    const held = this.reservations.listHandles(endpointId);
    return {
      requests: held.length,
      heldTokens: held.reduce(
        (sum, [, { promptTokens, producedTokens }]) => sum + promptTokens + producedTokens,
        0,
      ),
      finalTokens: held.reduce((sum, [handle, { promptTokens, producedTokens }]) => {
        const work = this.works.get(handle);
        const remaining = work ? this.expectRemaining(work, producedTokens) : 0;
        return sum + promptTokens + producedTokens + remaining;
      }, 0),
    };
  }

  /** Memory that a generation takes where it is placed. */
  private describeNeed(work: PlacedWork, producedTokens: number): MemoryNeed {
    return {
      knownTokens: (work.prompt?.promptTokens ?? 0) + producedTokens,
      growthTokens: this.expectRemaining(work, producedTokens),
    };
  }

  private getForecast(work: PlacedWork): LengthForecast {
    return this.estimator.getForecast(this.getLengthKey(work) as LengthKey);
  }

  private getLengthKey({ customer, routeName, prompt }: PlacedWork): LengthKey | undefined {
    if (!prompt) return undefined;
    return {
      customer: customer ?? ANONYMOUS,
      kindOfWork: routeName,
      maxOutputTokens: prompt.maxOutputTokens,
    };
  }
}
