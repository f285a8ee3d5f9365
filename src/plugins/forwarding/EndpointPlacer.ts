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
  chooseBackupEngine,
  choosePlacement,
  chooseMigrationTarget,
  PrefillSpeed,
  type EndpointHealth,
  type EndpointOutcome,
  type EndpointPace,
  type ResourceNeed,
  type Placement,
} from '../../decisions';
import type { Kernel } from '../../kernel';
import { Deployment, Members, type KnownBackEnd } from '../../services';
import { PlacementCandidates, type CandidateSources } from './PlacementCandidates';
import { FORWARDING_OPTIONS } from './options';
import type { EstimateInput, OutputEstimator } from './OutputEstimator';
import type { LocalLoad } from './LocalLoad';
import { PlacementQueue } from './PlacementQueue';

/** What a placement needs to know of a request. @internal */
export interface PlacementInput extends EstimateInput {
  readonly requestId: CallerRequestId;
  readonly configuration: ServingConfiguration;
  readonly service: string;
  readonly rank: number;
  /** Time to the first event that counts as prompt. */
  readonly promptWithinMs: number;
}

/** Room at an endpoint for a request, or for a copy of its memory, until it is released. @internal */
export interface EndpointReservation {
  readonly backEnd: KnownBackEnd;
  readonly recordTokens: (outputTokens: number) => void;
  readonly release: () => unknown;
}

/** @internal */
export interface RequestReservation extends EndpointReservation {
  /** The node waits for the endpoint's next bytes from now on. */
  readonly markReadStart: () => void;
}

/** Why a request is placed: anew, once more, or away from an engine that leaves. @internal */
export type PlacementStep = 'route' | 'retry' | 'place';

interface PlacementAttempt {
  readonly work: PlacementInput;
  readonly excluded: ReadonlyArray<EndpointId>;
  readonly step: PlacementStep;
  readonly producedTokens: number;
  readonly from: KnownBackEnd | undefined;
  readonly mayWait: boolean;
}

/** @internal */
export class EndpointPlacer {
  readonly health: EndpointHealth;

  private readonly pace: EndpointPace;

  private readonly ownWork: LocalLoad;

  private readonly survey: PlacementCandidates;

  private readonly prefillSpeed = new PrefillSpeed();

  private readonly waiters: PlacementQueue;

  constructor(
    private readonly kernel: Kernel,
    private readonly expectation: OutputEstimator,
    parts: CandidateSources,
  ) {
    this.health = parts.health;
    this.pace = parts.pace;
    this.ownWork = parts.localLoad;
    this.survey = new PlacementCandidates(kernel, parts);
    this.waiters = new PlacementQueue(kernel.clock);
  }

  /** Lets the requests that wait look again, after something may have become free. */
  retryQueued(): void {
    this.waiters.retryAll();
  }

  /**
   * Chooses an endpoint and reserves room there.
   * @param step `place` moves a run that has made `producedTokens` away from `from`.
   * @throws ServingError `no-endpoint`.
   */
  place(
    work: PlacementInput,
    excluded: ReadonlyArray<EndpointId>,
    step: PlacementStep,
    producedTokens = 0,
    from?: KnownBackEnd,
  ): RequestReservation {
    const placed = this.tryPlace({ work, excluded, step, producedTokens, from, mayWait: false });
    if (!placed) throw new Error('A placement that may not wait has waited.');
    return placed;
  }

  /**
   * The same for a new generation, which waits in rank order while no engine has room for it.
   * @param holdDeadlineMs monotonic time after which it goes to the queue of an engine.
   */
  async placeOrWait(
    work: PlacementInput,
    holdDeadlineMs: number,
    signal: AbortSignal,
  ): Promise<RequestReservation> {
    const attempt = {
      work,
      excluded: [],
      step: 'route',
      producedTokens: 0,
      from: undefined,
    } as const;
    const first = this.tryPlace({ ...attempt, mayWait: true });
    if (first) return first;
    let placed: RequestReservation | undefined;
    await this.waiters.wait(work.rank, holdDeadlineMs, signal, () => {
      placed = this.tryPlace({ ...attempt, mayWait: true });
      return placed !== undefined;
    });
    return placed ?? this.place(work, [], 'route');
  }

  /** Reserves room at the engine that has a copy of the run's memory. */
  placeAtCopy(
    work: PlacementInput,
    backEnd: KnownBackEnd,
    producedTokens: number,
  ): RequestReservation {
    return this.reserve(work, backEnd, producedTokens, 0);
  }

  /** Reserves room for a copy of a run, on an engine that can take the run over, if there is room. */
  placeCopy(
    work: PlacementInput,
    primary: KnownBackEnd,
    producedTokens = 0,
  ): EndpointReservation | undefined {
    const profile = work.configuration.services.get(work.service)?.engine;
    if (!profile?.canBackUp || !work.prompt) return undefined;
    const need = this.describeNeed(work, producedTokens);
    const backEnds = this.kernel
      .get(Deployment)
      .listAssignable(work.service)
      .filter(({ endpointId }) => endpointId !== primary.endpointId);
    const candidates = this.survey.list(work, backEnds, primary.dataCentre);
    const chosenId = chooseBackupEngine(candidates, need);
    const backEnd = backEnds.find(({ endpointId }) => endpointId === chosenId);
    if (!backEnd) return undefined;
    const { recordTokens, release } = this.ownWork.reserve(
      backEnd.endpointId,
      'copy',
      work,
      producedTokens,
    );
    return { backEnd, recordTokens, release };
  }

  /** Undefined when the request should wait. */
  private tryPlace(attempt: PlacementAttempt): RequestReservation | undefined {
    const { work, excluded, step, producedTokens, from, mayWait } = attempt;
    const deployment = this.kernel.get(Deployment);
    const backEnds = deployment
      .listAssignable(work.service)
      .filter(({ endpointId }) => !excluded.includes(endpointId));
    const need = this.describeNeed(work, producedTokens);
    const near = from ?? this.kernel.settings;
    const candidates = this.survey.list(work, backEnds, near.dataCentre);
    const verdict =
      step === 'place'
        ? chooseMigrationTarget(candidates, need, Math.random())
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
    const unreadTokens = (candidate?.pendingPrefillTokens ?? 0) + need.prefillTokens;
    return this.reserve(work, backEnd as KnownBackEnd, producedTokens, unreadTokens);
  }

  private logPlacement(
    { work, excluded, step }: PlacementAttempt,
    { knownTokens, growthTokens }: ResourceNeed,
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
    work: PlacementInput,
    backEnd: KnownBackEnd,
    producedTokens: number,
    unreadTokens: number,
  ): RequestReservation {
    const { endpointId } = backEnd;
    const { clock } = this.kernel;
    const placedAtMs = clock.nowMs();
    const learnsPrefill = producedTokens === 0;
    let knownTokens = producedTokens;
    let readingSinceMs: number | undefined;
    const room = this.ownWork.reserve(endpointId, 'request', work, producedTokens);
    this.health.recordSent(endpointId, placedAtMs);
    // Other nodes that place at the same moment should know of it.
    if (work.prompt) this.kernel.get(Members).announce();
    return {
      backEnd,
      recordTokens: (tokens) => {
        room.recordTokens(tokens);
        const nowMs = clock.nowMs();
        this.health.recordReceived(endpointId, nowMs);
        if (readingSinceMs !== undefined) {
          this.pace.observe(endpointId, tokens - knownTokens, nowMs - readingSinceMs, nowMs);
        } else if (learnsPrefill) {
          this.prefillSpeed.observe(work.service, unreadTokens, nowMs - placedAtMs);
        }
        knownTokens = tokens;
      },
      markReadStart: () => {
        readingSinceMs = clock.nowMs();
      },
      release: () => {
        if (!room.release()) return;
        this.health.recordEnded(endpointId);
        if (work.prompt) this.waiters.retryAll();
      },
    };
  }

  recordOutcome(endpointId: EndpointId, outcome: EndpointOutcome): void {
    this.health.recordOutcome(endpointId, outcome, this.kernel.clock.nowMs());
  }

  /** Notes a complete answer of a call. */
  recordCallTime(endpointId: EndpointId, elapsedMs: number): void {
    this.pace.observe(endpointId, 1, elapsedMs, this.kernel.clock.nowMs());
  }

  /** Memory that a generation takes where it is placed. */
  private describeNeed(work: PlacementInput, producedTokens: number): ResourceNeed {
    return {
      knownTokens: (work.prompt?.promptTokens ?? 0) + producedTokens,
      growthTokens: this.expectation.getRemaining(work, producedTokens),
      prefillTokens: producedTokens === 0 ? (work.prompt?.promptTokens ?? 0) : 0,
      tokensPerMs: this.prefillSpeed.get(work.service),
      latencyGoalMs: work.promptWithinMs,
    };
  }
}
