/**
 * Places requests, and copies of runs, on endpoints.
 */
import {
  ServingError,
  type CallerRequestId,
  type EndpointId,
  type ServingConfiguration,
} from '../../core';
import {
  chooseCopyHolder,
  choosePlacement,
  computeSlowness,
  drawDestination,
  EndpointHealth,
  PrefillSpeed,
  type EndpointOutcome,
  type EndpointPace,
  type MemoryNeed,
  type Placement,
  type PlacementCandidate,
} from '../../decisions';
import type { Kernel } from '../../kernel';
import { Deployment, Members, type KnownBackEnd } from '../../services';
import type { EndpointConnections } from './EndpointConnections';
import { FORWARDING_OPTIONS } from './options';
import type { ExpectedWork, OutputExpectation } from './OutputExpectation';
import type { OwnWork } from './OwnWork';
import { RoomWaiters } from './RoomWaiters';

/** What a placement needs to know of a request. @internal */
export interface PlacedWork extends ExpectedWork {
  readonly requestId: CallerRequestId;
  readonly configuration: ServingConfiguration;
  readonly service: string;
  readonly rank: number;
  /** Time to the first event that counts as prompt. */
  readonly promptWithinMs: number;
}

/** A request's room at an endpoint, until it is released. @internal */
export interface PlacedRequest {
  readonly backEnd: KnownBackEnd;
  readonly noteTokens: (outputTokens: number) => void;
  /** The node waits for the endpoint's next bytes from now on. */
  readonly noteReading: () => void;
  readonly release: () => unknown;
}

/** Why a request is placed: anew, once more, or away from an engine that leaves. @internal */
export type PlacementStep = 'route' | 'retry' | 'place';

interface PlacementAttempt {
  readonly work: PlacedWork;
  readonly excluded: ReadonlyArray<EndpointId>;
  readonly step: PlacementStep;
  readonly producedTokens: number;
  readonly from: KnownBackEnd | undefined;
  readonly mayWait: boolean;
}

/** @internal */
export class EndpointPlacer {
  readonly health = new EndpointHealth();

  private readonly prefillSpeed = new PrefillSpeed();

  private readonly waiters: RoomWaiters;

  constructor(
    private readonly kernel: Kernel,
    private readonly connections: EndpointConnections,
    private readonly ownWork: OwnWork,
    private readonly expectation: OutputExpectation,
    private readonly pace: EndpointPace,
  ) {
    this.waiters = new RoomWaiters(kernel.clock);
  }

  /** Lets the requests that wait look again, after something may have become free. */
  lookForRoom(): void {
    this.waiters.look();
  }

  /**
   * Chooses an endpoint and reserves room there.
   * @param step `place` moves a run that has made `producedTokens` away from `from`.
   * @throws ServingError `no-endpoint`.
   */
  place(
    work: PlacedWork,
    excluded: ReadonlyArray<EndpointId>,
    step: PlacementStep,
    producedTokens = 0,
    from?: KnownBackEnd,
  ): PlacedRequest {
    const placed = this.tryPlace({ work, excluded, step, producedTokens, from, mayWait: false });
    if (!placed) throw new Error('A placement that may not wait has waited.');
    return placed;
  }

  /**
   * The same for a new generation, which waits in rank order while no engine has room for it.
   * @param holdDeadlineMs monotonic time after which it goes to the queue of an engine.
   */
  async placeWhenRoom(
    work: PlacedWork,
    holdDeadlineMs: number,
    signal: AbortSignal,
  ): Promise<PlacedRequest> {
    const attempt = {
      work,
      excluded: [],
      step: 'route',
      producedTokens: 0,
      from: undefined,
    } as const;
    const first = this.tryPlace({ ...attempt, mayWait: true });
    if (first) return first;
    let placed: PlacedRequest | undefined;
    await this.waiters.wait(work.rank, holdDeadlineMs, signal, () => {
      placed = this.tryPlace({ ...attempt, mayWait: true });
      return placed !== undefined;
    });
    return placed ?? this.place(work, [], 'route');
  }

  /** Reserves room at the engine that has a copy of the run's memory. */
  placeAtCopy(work: PlacedWork, backEnd: KnownBackEnd, producedTokens: number): PlacedRequest {
    return this.reserve(work, backEnd, producedTokens, 0);
  }

  /** Reserves room for a copy of a run, on an engine that can take the run over, if there is room. */
  placeCopy(
    work: PlacedWork,
    primary: KnownBackEnd,
    producedTokens = 0,
  ): PlacedRequest | undefined {
    const profile = work.configuration.services.get(work.service)?.engine;
    if (!profile?.canBackUp || !work.prompt) return undefined;
    const need = this.describeNeed(work, producedTokens);
    const backEnds = this.kernel
      .get(Deployment)
      .listAssignable(work.service)
      .filter(({ endpointId }) => endpointId !== primary.endpointId);
    const candidates = this.describeAll(work, backEnds, primary.dataCentre);
    const chosenId = chooseCopyHolder(candidates, need);
    const backEnd = backEnds.find(({ endpointId }) => endpointId === chosenId);
    if (!backEnd) return undefined;
    const { noteTokens, release } = this.ownWork.hold(
      backEnd.endpointId,
      'copy',
      work,
      producedTokens,
    );
    return { backEnd, noteTokens, noteReading: () => {}, release };
  }

  /** Undefined when the request should wait. */
  private tryPlace(attempt: PlacementAttempt): PlacedRequest | undefined {
    const { work, excluded, step, producedTokens, from, mayWait } = attempt;
    const deployment = this.kernel.get(Deployment);
    const backEnds = deployment
      .listAssignable(work.service)
      .filter(({ endpointId }) => !excluded.includes(endpointId));
    const need = this.describeNeed(work, producedTokens);
    const near = from ?? this.kernel.settings;
    const candidates = this.describeAll(work, backEnds, near.dataCentre);
    const verdict =
      step === 'place'
        ? drawDestination(candidates, need, Math.random())
        : choosePlacement(candidates, need, Math.random(), mayWait);
    if (verdict.outcome === 'wait') return undefined;
    this.logPlacement(attempt, need, verdict);
    if (verdict.outcome === 'refuse') {
      throw new ServingError('no-endpoint', {
        detail: verdict.reason,
        clause: `routes.${work.routeName}.targets`,
        retryAfterMs: FORWARDING_OPTIONS.retryAfterMs,
      });
    }
    const backEnd = backEnds.find(({ endpointId }) => endpointId === verdict.endpointId);
    const candidate = candidates.find(({ endpointId }) => endpointId === verdict.endpointId);
    const unreadTokens = (candidate?.unreadTokens ?? 0) + need.unreadTokens;
    return this.reserve(work, backEnd as KnownBackEnd, producedTokens, unreadTokens);
  }

  private logPlacement(
    { work, excluded, step }: PlacementAttempt,
    { knownTokens, growthTokens }: MemoryNeed,
    verdict: Exclude<Placement, { outcome: 'wait' }>,
  ): void {
    this.kernel.log.info('decision', {
      requestId: work.requestId,
      customer: work.customer,
      configurationVersion: work.configuration.version,
      clause: `routes.${work.routeName}.targets`,
      step,
      service: work.service,
      knownTokens,
      growthTokens: Math.round(growthTokens),
      excluded,
      confirmedAgeMs: Math.round(this.kernel.get(Deployment).getConfirmedAgeMs()),
      ...verdict,
    });
  }

  private reserve(
    work: PlacedWork,
    backEnd: KnownBackEnd,
    producedTokens: number,
    unreadTokens: number,
  ): PlacedRequest {
    const { endpointId } = backEnd;
    const { clock } = this.kernel;
    const placedAtMs = clock.nowMs();
    const learnsPrefill = producedTokens === 0;
    let knownTokens = producedTokens;
    let readingSinceMs: number | undefined;
    const room = this.ownWork.hold(endpointId, 'request', work, producedTokens);
    this.health.noteSent(endpointId, placedAtMs);
    // Other nodes that place at the same moment should know of it.
    if (work.prompt) this.kernel.get(Members).announce();
    return {
      backEnd,
      noteTokens: (tokens) => {
        room.noteTokens(tokens);
        const nowMs = clock.nowMs();
        this.health.noteHeard(endpointId, nowMs);
        if (readingSinceMs !== undefined) {
          this.pace.observe(endpointId, tokens - knownTokens, nowMs - readingSinceMs, nowMs);
        } else if (learnsPrefill) {
          this.prefillSpeed.observe(work.service, unreadTokens, nowMs - placedAtMs);
        }
        knownTokens = tokens;
      },
      noteReading: () => {
        readingSinceMs = clock.nowMs();
      },
      release: () => {
        if (!room.release()) return;
        this.health.noteEnded(endpointId);
        if (work.prompt) this.waiters.look();
      },
    };
  }

  noteOutcome(endpointId: EndpointId, outcome: EndpointOutcome): void {
    this.health.note(endpointId, outcome, this.kernel.clock.nowMs());
  }

  /** Notes a complete answer of a call. */
  noteCallTime(endpointId: EndpointId, elapsedMs: number): void {
    this.pace.observe(endpointId, 1, elapsedMs, this.kernel.clock.nowMs());
  }

  /** @param nearDataCentre the one from which the distance counts. */
  private describeAll(
    work: PlacedWork,
    backEnds: ReadonlyArray<KnownBackEnd>,
    nearDataCentre: string,
  ): ReadonlyArray<PlacementCandidate> {
    const countsByRegion = this.countByRegion(work.service);
    const pacesMs = backEnds.map(({ endpointId }) => this.findPaceMs(endpointId));
    const knownPacesMs = pacesMs.filter((paceMs) => paceMs !== undefined);
    return backEnds.map((backEnd, index) => ({
      ...this.describe(work, backEnd, nearDataCentre),
      endpointsInRegion: countsByRegion.get(this.getRegion(backEnd.dataCentre)) ?? 1,
      slowness: computeSlowness(pacesMs[index], knownPacesMs),
    }));
  }

  /** Mean of what this node and the others have seen. */
  private findPaceMs(endpointId: EndpointId): number | undefined {
    const own = this.pace.get(endpointId, this.kernel.clock.nowMs());
    const others = this.kernel.get(Members).listPacesMs(endpointId);
    const all = own === undefined ? others : [own, ...others];
    if (all.length === 0) return undefined;
    return all.reduce((sum, paceMs) => sum + paceMs, 0) / all.length;
  }

  private describe(
    work: PlacedWork,
    backEnd: KnownBackEnd,
    nearDataCentre: string,
  ): Omit<PlacementCandidate, 'endpointsInRegion' | 'slowness'> {
    const nowMs = this.kernel.clock.nowMs();
    const own = this.ownWork.getLoad(backEnd.endpointId);
    const others = this.kernel.get(Members).getLoadOfOthers(backEnd.endpointId);
    const profile = work.configuration.services.get(work.service);
    return {
      endpointId: backEnd.endpointId,
      slots: backEnd.slots,
      memoryTokens: profile?.engine?.memoryTokens,
      requests: own.requests + others.requests,
      heldTokens: own.heldTokens + others.heldTokens,
      finalTokens: own.finalTokens + others.finalTokens,
      unreadTokens: own.unreadTokens + others.unreadTokens,
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
    return this.getRegion(dataCentre) === this.getRegion(other) ? 'same-region' : 'other-region';
  }

  private getRegion(dataCentre: string): string | undefined {
    return this.kernel.get(Deployment).getRegion(dataCentre);
  }

  /** Endpoints of a service in each region, also those that a request has tried already. */
  private countByRegion(service: string): ReadonlyMap<string | undefined, number> {
    const counts = new Map<string | undefined, number>();
    this.kernel
      .get(Deployment)
      .listAssignable(service)
      .map(({ dataCentre }) => this.getRegion(dataCentre))
      .forEach((region) => counts.set(region, (counts.get(region) ?? 0) + 1));
    return counts;
  }

  private getConnectionShare(maxConnections = Infinity): number {
    const nodes = this.kernel.get(Members).listLive().length + 1;
    const share = Math.floor((maxConnections * FORWARDING_OPTIONS.connectionPart) / nodes);
    return Math.max(FORWARDING_OPTIONS.minConnections, share);
  }

  /** Memory that a generation takes where it is placed. */
  private describeNeed(work: PlacedWork, producedTokens: number): MemoryNeed {
    return {
      knownTokens: (work.prompt?.promptTokens ?? 0) + producedTokens,
      growthTokens: this.expectation.getRemaining(work, producedTokens),
      unreadTokens: producedTokens === 0 ? (work.prompt?.promptTokens ?? 0) : 0,
      tokensPerMs: this.prefillSpeed.get(work.service),
      promptWithinMs: work.promptWithinMs,
    };
  }
}
