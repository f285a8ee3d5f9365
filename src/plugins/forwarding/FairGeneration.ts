/**
 * A generation that waits for room: what it needs, how it is placed, and what is logged about it.
 */
import { ServingError } from '../../core';
import {
  computeRetryAfterMs,
  computeSpareStarts,
  computeWaitLimits,
  estimateTokenMs,
  forecastWaitMs,
  judgeWait,
  leavesRoom,
  mayNotStarve,
  PLACEMENT_OPTIONS,
  type FairShares,
  type OrderReason,
  type RequestsAhead,
  type ResourceNeed,
  type RoomForecast,
  type WaitingRequest,
  type WaitVerdict,
} from '../../decisions';
import type { Kernel } from '../../kernel';
import { Members, ServingMetrics, type WaitOutcome } from '../../services';
import type { PlacementInput, RequestReservation } from './EndpointPlacer';
import { QueuedGeneration, type PlacementTry, type RefusedEnd } from './FairQueue';
import { FORWARDING_OPTIONS } from './options';
import type { RoomForecaster } from './RoomForecaster';

/** How long the caller of a new generation waits, and what it holds meanwhile. @internal */
export interface PlacementPatience {
  readonly arrivedAtMs: number;
  /** Time at which a request may be placed in the queue of an engine. */
  readonly holdDeadlineMs: number;
  /** Time at which the caller leaves a stream that hasn't begun, less the way of an error to it. */
  readonly leavesAtMs: number;
  /** Time up to which the caller comes back after a refusal. */
  readonly deadlineMs: number;
  readonly bodyBytes: number;
  /** Returns why the request must not be sent to any engine. */
  readonly findRefusal: () => ServingError | undefined;
}

/** @internal */
export interface FairRequest {
  readonly work: PlacementInput;
  readonly need: ResourceNeed;
  readonly patience: PlacementPatience;
  /** @param mayWait false to place it in the queue of an engine. */
  readonly tryPlace: (mayWait: boolean) => RequestReservation | undefined;
}

/** @internal */
export class FairGeneration extends QueuedGeneration {
  override readonly request: WaitingRequest;

  override readonly roomKey: string;

  placed: RequestReservation | undefined;

  private hasWaited = false;

  constructor(
    private readonly kernel: Kernel,
    private readonly forecaster: RoomForecaster,
    private readonly shares: FairShares,
    private readonly input: FairRequest & { readonly arrival: number },
  ) {
    super();
    this.request = this.describe();
    this.roomKey = forecaster.getRoomKey(input.work);
  }

  override findRefusal(): ServingError | undefined {
    return this.input.patience.findRefusal();
  }

  /** There, a request of the most urgent rank goes ahead of those from all nodes. */
  override mayQueueAtEngine(reason: OrderReason): boolean {
    const isHeld = this.kernel.clock.nowMs() < this.input.patience.holdDeadlineMs;
    return !isHeld && !this.mustGiveWay(reason);
  }

  override tryToPlace(reason: OrderReason): PlacementTry {
    if (this.mustGiveWay(reason) && this.isReservedForOthers()) return 'reserved for others';
    this.placed = this.input.tryPlace(true);
    if (!this.placed && this.mayQueueAtEngine(reason)) this.placed = this.input.tryPlace(false);
    if (!this.placed) return 'no room';
    this.forecaster.invalidate();
    this.recordPlaced(reason);
    return 'placed';
  }

  override forecastWaitMs(ahead: RequestsAhead): number {
    return forecastWaitMs(this.forecast(), this.request.needTokens, ahead);
  }

  override judgeWait(ahead: RequestsAhead): WaitVerdict {
    const { hasIdleEngine } = this.forecast();
    const nowMs = this.kernel.clock.nowMs();
    return judgeWait(this.request, this.forecastWaitMs(ahead), hasIdleEngine, nowMs);
  }

  override createRefusal(
    end: RefusedEnd,
    { reason, expectedWaitMs }: WaitVerdict,
    ahead: RequestsAhead,
  ): ServingError {
    const { work, patience } = this.input;
    const nowMs = this.kernel.clock.nowMs();
    const leftMs = patience.deadlineMs - nowMs;
    const waitedMs = Math.round(nowMs - this.request.arrivedAtMs);
    this.countEnd(end);
    return new ServingError('overloaded', {
      detail: `Refused after waiting ${waitedMs} ms: ${reason}; ${this.describeRoom(expectedWaitMs)}.`,
      clause: `routes.${work.routeName}.latencyGoalMs`,
      retryAfterMs: computeRetryAfterMs(this.forecastFleetWaitMs(ahead), leftMs, Math.random()),
    });
  }

  private describe(): WaitingRequest {
    const { work, need, patience, arrival } = this.input;
    const paceMs = this.forecaster.getPaceMs(work);
    const firstTokenMs = need.prefillTokens / need.tokensPerMs + paceMs;
    const durationMs = firstTokenMs + need.growthTokens * paceMs;
    const { arrivedAtMs, leavesAtMs } = patience;
    const { latencyGoalMs } = work;
    return {
      arrival,
      customer: work.customer,
      rank: work.rank,
      arrivedAtMs,
      ...computeWaitLimits({ arrivedAtMs, latencyGoalMs, leavesAtMs, firstTokenMs }),
      needTokens: this.limitToEngine(need.knownTokens),
      tokenMs: estimateTokenMs(need.knownTokens, need.growthTokens, durationMs),
      heldBytes: patience.bodyBytes + FORWARDING_OPTIONS.waitingOverheadBytes,
    };
  }

  /** A prompt that only an idle engine takes waits for all of its usable memory. */
  private limitToEngine(tokens: number): number {
    const { configuration, service } = this.input.work;
    const memoryTokens = configuration.services.get(service)?.engine?.memoryTokens ?? Infinity;
    return Math.min(tokens, Math.floor(memoryTokens * PLACEMENT_OPTIONS.fullMemoryShare));
  }

  private forecast(): RoomForecast {
    return this.forecaster.forecast(this.input.work);
  }

  /** Callers are spread over the nodes at random, so each is expected to have as many waiting. */
  private forecastFleetWaitMs({ requests, needTokens }: RequestsAhead): number {
    const nodes = this.countNodes();
    return this.forecastWaitMs({ requests: requests * nodes, needTokens: needTokens * nodes });
  }

  private countNodes(): number {
    return this.kernel.get(Members).listLive().length + 1;
  }

  /** Whether moving runs, or requests that wait at other nodes, need the room first. */
  private isReservedForOthers(): boolean {
    const forecast = this.forecast();
    const { needTokens } = this.request;
    const nowMs = this.kernel.clock.nowMs();
    const capacityStarts = forecast.capacityTokens / Math.max(1, needTokens);
    const spareStarts =
      this.countNodes() > 1
        ? computeSpareStarts(this.request, this.shares, capacityStarts, nowMs)
        : 0;
    return !leavesRoom(forecast, needTokens, spareStarts);
  }

  private mustGiveWay(reason: OrderReason): boolean {
    return this.isLowerRank() && !mayNotStarve(reason);
  }

  private isLowerRank(): boolean {
    return this.input.work.configuration.routes.some(
      ({ delivery, rank, targets }) =>
        delivery === 'stream' &&
        rank < this.request.rank &&
        targets.some(({ service }) => service === this.input.work.service),
    );
  }

  private recordPlaced(reason: OrderReason): void {
    const { customer, rank, tokenMs, arrivedAtMs, onTimeUntilMs } = this.request;
    const nowMs = this.kernel.clock.nowMs();
    this.shares.charge({ customer, rank, tokenMs }, nowMs);
    if (!this.hasWaited) return;
    const waitedMs = nowMs - arrivedAtMs;
    const { requestId, routeName } = this.input.work;
    this.countEnd(nowMs <= onTimeUntilMs ? 'placed in time' : 'placed late');
    this.kernel
      .get(ServingMetrics)
      .observeWait({ customer: customer ?? '', kindOfWork: routeName }, waitedMs);
    this.kernel.log.info('decision', {
      requestId,
      step: 'wait',
      what: 'end of the wait',
      clause: `routes.${routeName}.latencyGoalMs`,
      outcome: `placed after ${Math.round(waitedMs)} ms`,
      reason: `position decided by: ${reason}`,
    });
  }

  override recordWaiting(ahead: RequestsAhead, reason: OrderReason): void {
    this.hasWaited = true;
    const { work } = this.input;
    const { customer, onTimeUntilMs, usefulUntilMs } = this.request;
    const nowMs = this.kernel.clock.nowMs();
    const expectedWaitMs = this.forecastWaitMs(ahead);
    this.kernel.log.info('decision', {
      requestId: work.requestId,
      customer,
      step: 'wait',
      what: 'wait for room',
      clause: `routes.${work.routeName}.latencyGoalMs`,
      outcome: `${ahead.requests} ahead at this node; position decided by: ${reason}`,
      reason: `no engine has room for it; ${this.describeRoom(expectedWaitMs)}`,
      onTimeForMs: Math.round(onTimeUntilMs - nowMs),
      usefulForMs: Math.round(usefulUntilMs - nowMs),
      customerTokenMs: Math.round(this.shares.getCustomerUse(customer)),
    });
  }

  private describeRoom(expectedWaitMs: number): string {
    const { freeTokens, movingTokens, tokensPerMs } = this.forecast();
    const expected = Number.isFinite(expectedWaitMs)
      ? `room is expected in ${Math.round(expectedWaitMs)} ms`
      : 'no room is expected';
    return (
      `${expected}: ${this.request.needTokens} tokens are needed, ${Math.round(freeTokens)} are free, ` +
      `${Math.round(movingTokens)} are needed by moving runs, ${tokensPerMs.toFixed(1)} get free per ms`
    );
  }

  private countEnd(end: WaitOutcome): void {
    this.kernel.get(ServingMetrics).countWaitEnd(this.request.rank, end);
  }
}
