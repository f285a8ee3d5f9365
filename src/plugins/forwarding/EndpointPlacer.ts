/**
 * Chooses endpoints for requests and for backups of runs, and reserves capacity there.
 */
import {
  ServingError,
  type CallerRequestId,
  type EndpointId,
  type PromptPart,
  type ServingConfiguration,
} from '../../core';
import {
  chooseBackupEngine,
  choosePlacement,
  chooseMigrationTarget,
  explainNoQuota,
  explainPlacement,
  PrefillSpeed,
  type EndpointHealth,
  type EndpointOutcome,
  type EndpointPace,
  type ExplainedPlacement,
  type PlacementCandidate,
  type ResourceNeed,
  type Placement,
} from '../../decisions';
import type { Kernel } from '../../kernel';
import { Deployment, Members, ServingMetrics, type KnownBackEnd } from '../../services';
import { PlacementCandidates, type CandidateSources } from './PlacementCandidates';
import type { PlacementPatience } from './FairGeneration';
import { FairPlacement } from './FairPlacement';
import { FORWARDING_OPTIONS } from './options';
import type { EstimateInput, OutputEstimator } from './OutputEstimator';
import type { EndpointQuotas } from './EndpointQuotas';
import type { LocalLoad } from './LocalLoad';
import { PlacementQueue } from './PlacementQueue';
import { PromptPacer } from './PromptPacer';
import type { PromptWait } from './PromptWait';
import { haveSameVersion, UsableEndpoints } from './UsableEndpoints';

/** Properties of a request that its placement depends on. @internal */
export interface PlacementInput extends EstimateInput {
  readonly requestId: CallerRequestId;
  readonly configuration: ServingConfiguration;
  readonly service: string;
  /** Software version that has begun the stream; undefined while it may begin at any. */
  readonly softwareVersion?: string | undefined;
  readonly rank: number;
  /** Goal for the time to the first event. */
  readonly latencyGoalMs: number;
  /** Parts of the prompt that engines may have cached. */
  readonly sharedPrompt: ReadonlyArray<PromptPart>;
  /** Monotonic time at which the request arrived. */
  readonly arrivedAtMs: number;
}

/** Capacity reserved at an endpoint for a request or for a backup of its KV cache. @internal */
export interface EndpointReservation {
  readonly backEnd: KnownBackEnd;
  readonly recordTokens: (outputTokens: number) => void;
  readonly release: () => unknown;
}

/** @internal */
export interface RequestReservation extends EndpointReservation {
  /** Starts timing the endpoint's next output; called when this node is ready to read it. */
  readonly markReadStart: () => void;
  /** False if a quota of the endpoint has come into force since the reservation and is used up. */
  readonly mayWrite: () => boolean;
  /** Records that the request is about to be written to a connection. */
  readonly markWriting: () => void;
  /** Records that the endpoint has answered completely, before the release. */
  readonly markComplete: () => void;
}

/** Why a request is placed: first attempt, retry, or migration from a leaving engine. @internal */
export type PlacementStep = 'route' | 'retry' | 'place';

/** Prompt tokens up to the first token of a request, and those that its engine has cached. */
interface PrefillEstimate {
  readonly queuedPrefillTokens: number;
  readonly cachedTokens: number;
}

const NO_PREFILL: PrefillEstimate = { queuedPrefillTokens: 0, cachedTokens: 0 };

interface PlacementAttempt {
  readonly work: PlacementInput;
  readonly excluded: ReadonlyArray<EndpointId>;
  readonly step: PlacementStep;
  readonly producedTokens: number;
  readonly from: KnownBackEnd | undefined;
  readonly mayWait: boolean;
  /** Undefined unless the request may wait for the prompt work of others. */
  readonly promptWait?: PromptWait | undefined;
}

/** @internal */
export class EndpointPlacer {
  readonly health: EndpointHealth;

  private readonly pace: EndpointPace;

  private readonly localLoad: LocalLoad;

  private readonly quotas: EndpointQuotas;

  private readonly candidates: PlacementCandidates;

  private readonly prefillSpeed = new PrefillSpeed();

  private readonly queue: PlacementQueue;

  private readonly usable: UsableEndpoints;

  readonly pacer: PromptPacer;

  private readonly fairPlacement: FairPlacement;

  constructor(
    private readonly kernel: Kernel,
    private readonly estimator: OutputEstimator,
    parts: CandidateSources,
  ) {
    this.health = parts.health;
    this.pace = parts.pace;
    this.localLoad = parts.localLoad;
    this.quotas = parts.quotas;
    this.candidates = new PlacementCandidates(kernel, parts);
    this.queue = new PlacementQueue(kernel.clock);
    this.usable = new UsableEndpoints(kernel);
    this.pacer = new PromptPacer(kernel, this.prefillSpeed);
    this.fairPlacement = new FairPlacement(kernel, this.usable, parts);
  }

  /** Tries again to place the queued requests, as capacity may have been freed. */
  retryQueued(): void {
    this.queue.retryAll();
    this.fairPlacement.retryAll();
  }

  /**
   * Chooses an endpoint and reserves capacity there.
   * @param step `place` migrates a run that has produced `producedTokens` away from `from`.
   * @throws ServingError `no-endpoint`.
   */
  place(
    work: PlacementInput,
    excluded: ReadonlyArray<EndpointId>,
    step: PlacementStep,
    producedTokens = 0,
    from?: KnownBackEnd,
  ): RequestReservation {
    return this.placeNow({ work, excluded, step, producedTokens, from, mayWait: false });
  }

  private placeNow(attempt: PlacementAttempt): RequestReservation {
    const placed = this.tryPlace(attempt);
    if (!placed) throw new Error('The placement returned "wait" although it must not wait.');
    return placed;
  }

  /**
   * Places a new generation. It waits in rank order while no engine has capacity for it.
   * @param holdDeadlineMs monotonic time at which it is placed anyway, in the queue of an engine.
   */
  async placeOrWait(
    work: PlacementInput,
    holdDeadlineMs: number,
    signal: AbortSignal,
  ): Promise<RequestReservation> {
    this.pacer.observe(work);
    const promptWait = this.pacer.planWait(work);
    const attempt = {
      work,
      excluded: [],
      step: 'route',
      producedTokens: 0,
      from: undefined,
      promptWait,
    } as const;
    const mayWaitForRoom = (): boolean =>
      promptWait === undefined || this.kernel.clock.nowMs() < holdDeadlineMs;
    const first = this.tryPlace({ ...attempt, mayWait: mayWaitForRoom() });
    if (first) return first;
    const deadlineMs = Math.max(holdDeadlineMs, promptWait?.deadlineMs ?? -Infinity);
    let placed: RequestReservation | undefined;
    let refusal: ServingError | undefined;
    const tryToPlace = (): boolean => {
      try {
        placed = this.tryPlace({ ...attempt, mayWait: mayWaitForRoom() });
      } catch (thrown) {
        // Whoever freed the capacity must go on, as must the requests that wait behind.
        refusal = ServingError.from(thrown);
      }
      return placed !== undefined || refusal !== undefined;
    };
    await this.queue.wait(work.rank, deadlineMs, signal, tryToPlace, holdDeadlineMs);
    if (refusal) throw refusal;
    if (placed) return placed;
    promptWait?.stop();
    return this.placeNow({ ...attempt, mayWait: false });
  }

  /** Whether a request may be sent to an endpoint that was chosen earlier. */
  mayUse(work: PlacementInput, backEnd: KnownBackEnd): boolean {
    return this.usable.includes(work, backEnd);
  }

  /** Whether a request may use an endpoint of its service besides one. */
  hasOther(work: PlacementInput, than: EndpointId): boolean {
    return this.usable.list(work).some(({ endpointId }) => endpointId !== than);
  }

  /** Whether a run that has stopped may continue from its copy at an endpoint. */
  mayContinueAt(backEnd: KnownBackEnd): boolean {
    return this.usable.mayContinueAt(backEnd);
  }

  /** Places a new generation; where customers share room, it waits for as long as it is of use. */
  async placeNew(
    work: PlacementInput,
    patience: PlacementPatience,
    signal: AbortSignal,
  ): Promise<RequestReservation> {
    if (!this.fairPlacement.appliesTo(work)) {
      return this.placeOrWait(work, patience.holdDeadlineMs, signal);
    }
    this.pacer.observe(work);
    const need = this.estimateNeed(work, 0);
    const first = {
      work,
      excluded: [],
      step: 'route',
      producedTokens: 0,
      from: undefined,
    } as const;
    const tryPlace = (mayWait: boolean): RequestReservation | undefined =>
      this.tryPlace({ ...first, mayWait });
    return this.fairPlacement.place({ work, need, patience, tryPlace }, signal);
  }

  /**
   * Reserves capacity at the engine that holds the backup of the run's KV cache; undefined if the
   * request may not use that engine, or if this node has no quota left there.
   */
  placeAtBackup(
    work: PlacementInput,
    backEnd: KnownBackEnd,
    producedTokens: number,
  ): RequestReservation | undefined {
    if (!this.mayUse(work, backEnd)) return undefined;
    return this.reserve(work, backEnd, producedTokens, NO_PREFILL);
  }

  /** Reserves capacity once more at the engine where a run that has stopped is to continue. */
  placeAgain(
    work: PlacementInput,
    backEnd: KnownBackEnd,
    producedTokens: number,
  ): RequestReservation | undefined {
    if (!this.mayContinueAt(backEnd)) return undefined;
    return this.reserve(work, backEnd, producedTokens, NO_PREFILL);
  }

  /** Reserves capacity for the backup of a run on another engine; undefined if none has any. */
  placeBackup(
    work: PlacementInput,
    primary: KnownBackEnd,
    producedTokens = 0,
  ): EndpointReservation | undefined {
    const profile = work.configuration.services.get(work.service)?.engine;
    if (!profile?.canBackUp || !work.prompt) return undefined;
    const need = this.estimateNeed(work, producedTokens);
    const backEnds = this.usable
      .list(work)
      .filter(({ endpointId }) => endpointId !== primary.endpointId)
      .filter((backEnd) => haveSameVersion(backEnd, primary));
    const candidates = this.candidates.list(work, backEnds, primary.dataCentre);
    const chosenId = chooseBackupEngine(candidates, need);
    const backEnd = backEnds.find(({ endpointId }) => endpointId === chosenId);
    if (!backEnd) return undefined;
    const { recordTokens, release } = this.localLoad.reserve(
      backEnd.endpointId,
      'copy',
      work,
      producedTokens,
    );
    return { backEnd, recordTokens, release };
  }

  /** Returns undefined if the request should wait. */
  private tryPlace(attempt: PlacementAttempt): RequestReservation | undefined {
    const { work, step, mayWait } = attempt;
    const { usable, backEnds, candidates, need } = this.collect(attempt);
    const chosen =
      step === 'place'
        ? chooseMigrationTarget(candidates, need, Math.random())
        : choosePlacement(
            candidates,
            need,
            Math.random(),
            mayWait,
            this.kernel.get(Members).getLoadAgeMs(),
          );
    const reserved = this.reserveChosen(attempt, need, candidates, chosen);
    // The share may have fallen since the candidates were listed.
    const isShareLost = chosen.outcome === 'place' && !reserved;
    const placement = isShareLost ? explainNoQuota(candidates.length, mayWait) : chosen;
    if (placement.outcome === 'wait') {
      if (placement.waitsFor === 'prompt-work') attempt.promptWait?.begin();
      else this.retryWithQuota(work, backEnds);
      return undefined;
    }
    const unusable = usable.length === 0 ? this.usable.explainNone(work) : undefined;
    this.logPlacement(attempt, need, placement, unusable);
    if (unusable) throw unusable;
    if (placement.outcome === 'refuse') {
      throw new ServingError('no-endpoint', {
        detail: placement.reason,
        clause: `routes.${work.routeName}.targets`,
        retryAfterMs: this.getRetryAfterMs(work, backEnds),
      });
    }
    return reserved;
  }

  /** Returns undefined if no endpoint was chosen, or if it has no quota left. */
  private reserveChosen(
    { work, producedTokens }: PlacementAttempt,
    need: ResourceNeed,
    candidates: ReadonlyArray<PlacementCandidate>,
    chosen: Placement,
  ): RequestReservation | undefined {
    if (chosen.outcome !== 'place') return undefined;
    const backEnd = this.kernel.get(Deployment).find(chosen.endpointId);
    const candidate = candidates.find(({ endpointId }) => endpointId === chosen.endpointId);
    if (!backEnd || !candidate) return undefined;
    const cachedTokens = Math.min(need.prefillTokens, candidate.cachedTokens ?? 0);
    const prefillTokens = need.prefillTokens - cachedTokens;
    const queuedPrefillTokens = candidate.pendingPrefillTokens + prefillTokens;
    return this.reserve(work, backEnd, producedTokens, { queuedPrefillTokens, cachedTokens });
  }

  /** Collects what a placement depends on. */
  private collect({ work, excluded, producedTokens, from, promptWait }: PlacementAttempt): {
    /** Endpoints that the request may use, including those that it has tried. */
    readonly usable: ReadonlyArray<KnownBackEnd>;
    /** Those of them that it may be sent to now. */
    readonly backEnds: ReadonlyArray<KnownBackEnd>;
    readonly candidates: ReadonlyArray<PlacementCandidate>;
    readonly need: ResourceNeed;
  } {
    const usable = this.usable.list(work);
    const backEnds = usable
      .filter(({ endpointId }) => !excluded.includes(endpointId))
      .filter((backEnd) => !from || haveSameVersion(backEnd, from));
    const need = this.estimateNeed(work, producedTokens, promptWait);
    const origin = from ?? this.kernel.settings;
    const listed = this.candidates.list(work, backEnds, origin.dataCentre);
    return { usable, backEnds, candidates: this.pacer.countCached(work, listed), need };
  }

  /**
   * Explains where a new request would go now, without reserving or recording anything.
   * @throws ServingError if the request may use no endpoint of the service.
   */
  explain(work: PlacementInput, mayWait: boolean): ExplainedPlacement {
    const promptWait = mayWait ? this.pacer.planWait(work) : undefined;
    const { usable, candidates, need } = this.collect({
      work,
      excluded: [],
      step: 'route',
      producedTokens: 0,
      from: undefined,
      mayWait,
      promptWait,
    });
    const unusable = usable.length === 0 ? this.usable.explainNone(work) : undefined;
    if (unusable) throw unusable;
    const loadAgeMs = this.kernel.get(Members).getLoadAgeMs();
    return explainPlacement(candidates, need, mayWait, loadAgeMs);
  }

  /** Has the queue tried again as soon as a quota has room. */
  private retryWithQuota(
    { service, configuration }: PlacementInput,
    backEnds: ReadonlyArray<KnownBackEnd>,
  ): void {
    const delayMs = this.quotas.getNextRoomMs(backEnds, configuration);
    if (delayMs === undefined) return;
    if (this.quotas.getRetryAfterMs(backEnds, configuration) !== undefined) {
      this.kernel.get(ServingMetrics).countQuotaRequest(service, 'refused');
    }
    this.quotas.scheduleRetry(delayMs);
  }

  private getRetryAfterMs(
    { service, configuration }: PlacementInput,
    backEnds: ReadonlyArray<KnownBackEnd>,
  ): number {
    const delayMs = this.quotas.getRetryAfterMs(backEnds, configuration);
    if (delayMs === undefined) return FORWARDING_OPTIONS.retryAfterMs;
    this.kernel.get(ServingMetrics).countQuotaRequest(service, 'refused');
    return Math.ceil(delayMs);
  }

  private logPlacement(
    { work, excluded, step, promptWait }: PlacementAttempt,
    { knownTokens, growthTokens }: ResourceNeed,
    placement: Exclude<Placement, { outcome: 'wait' }>,
    unusable: ServingError | undefined,
  ): void {
    const { allowed } = this.usable.getTerms(work);
    if (allowed) {
      const outcome = placement.outcome === 'place' ? 'placed' : 'refused';
      this.kernel.get(ServingMetrics).countRegionConstraint(outcome);
    }
    this.kernel.log.info('decision', {
      requestId: work.requestId,
      customer: work.customer,
      configurationVersion: work.configuration.version,
      clause: unusable?.clause ?? `routes.${work.routeName}.targets`,
      step,
      service: work.service,
      knownTokens,
      growthTokens: Math.round(growthTokens),
      excluded,
      allowedRegions: allowed,
      confirmedAgeMs: Math.round(this.kernel.get(Deployment).getConfirmedAgeMs()),
      promptWaitMs: promptWait?.end(work.service),
      ...placement,
      ...(unusable && { reason: unusable.detail }),
    });
  }

  private reserve(
    work: PlacementInput,
    backEnd: KnownBackEnd,
    producedTokens: number,
    { queuedPrefillTokens, cachedTokens }: PrefillEstimate,
  ): RequestReservation | undefined {
    const { endpointId } = backEnd;
    const quotaUse = this.quotas.use(backEnd, work.configuration);
    if (!quotaUse) return undefined;
    const { clock } = this.kernel;
    const placedAtMs = clock.nowMs();
    const measuresPrefill = producedTokens === 0;
    let knownTokens = producedTokens;
    let readStartMs: number | undefined;
    const reservation = this.localLoad.reserve(
      endpointId,
      'request',
      work,
      producedTokens,
      cachedTokens,
    );
    this.health.recordSent(endpointId, placedAtMs);
    // Announces the new load at once, for other nodes that place requests at the same moment.
    if (work.prompt) this.kernel.get(Members).announce();
    return {
      backEnd,
      recordTokens: (tokens) => {
        reservation.recordTokens(tokens);
        const nowMs = clock.nowMs();
        this.health.recordReceived(endpointId, nowMs);
        if (readStartMs !== undefined) {
          this.pace.observe(endpointId, tokens - knownTokens, nowMs - readStartMs, nowMs);
        } else if (measuresPrefill) {
          this.prefillSpeed.observe(work.service, queuedPrefillTokens, nowMs - placedAtMs);
          if (this.pacer.recordPrefilled(work, endpointId)) this.queue.retryAll();
        }
        knownTokens = tokens;
      },
      markReadStart: () => {
        readStartMs = clock.nowMs();
      },
      mayWrite: quotaUse.mayWrite,
      markWriting: quotaUse.markWriting,
      markComplete: quotaUse.markComplete,
      release: () => {
        if (!reservation.release()) return;
        quotaUse.release();
        this.health.recordEnded(endpointId);
        if (work.prompt) this.retryQueued();
      },
    };
  }

  recordOutcome(endpointId: EndpointId, outcome: EndpointOutcome): void {
    this.health.recordOutcome(endpointId, outcome, this.kernel.clock.nowMs());
  }

  /** Records the time that a call took, or has taken so far. */
  recordCallTime(endpointId: EndpointId, elapsedMs: number): void {
    this.pace.observe(endpointId, 1, elapsedMs, this.kernel.clock.nowMs());
  }

  /** Estimates the KV cache that a generation needs on its engine. */
  private estimateNeed(
    work: PlacementInput,
    producedTokens: number,
    promptWait?: PromptWait,
  ): ResourceNeed {
    return {
      knownTokens: (work.prompt?.promptTokens ?? 0) + producedTokens,
      growthTokens: this.estimator.getRemaining(work, producedTokens),
      prefillTokens: producedTokens === 0 ? (work.prompt?.promptTokens ?? 0) : 0,
      tokensPerMs: this.prefillSpeed.get(work.service),
      latencyGoalMs: work.latencyGoalMs,
      pacing: this.pacer.describe(work, promptWait),
    };
  }
}
