/**
 * Predicts an engine's memory use from a delayed report and this node's own reservations.
 *
 * Generations grow by one token per step and free all memory when they end. So the mean and
 * variance of the memory of those still running are predicted at several horizons, in tokens from
 * now. The reported memory includes a reservation made long enough before the report was taken; a
 * later one is added in full.
 */
import type { EndpointView } from './EndpointView';
import type { Reservation } from './InFlightReservations';
import type { RoutingOptions } from './options';

/** Horizons of the prediction, in tokens from now. */
export const HORIZONS_TOKENS: ReadonlyArray<number> = [
  0, 64, 128, 256, 512, 1_024, 2_048, 4_096, 8_192,
];

/** Share of generations that still run at each horizon. @public */
export type SurvivalCurve = ReadonlyArray<number>;

const NEVER_ENDING: SurvivalCurve = HORIZONS_TOKENS.map(() => 1);

/** Estimates of the requests that other nodes sent. @public */
export interface OtherNodesEstimate {
  readonly survival: SurvivalCurve;
  /** Mean prompt of a generation that the report doesn't count as running. */
  readonly promptTokens: number;
  /** Generations that other nodes have sent to the engine since its report was taken. */
  readonly unreported: number;
}

/** @public */
export interface MemoryPrediction {
  /** Free memory at the worst horizon; negative if overcommitted. */
  readonly freeTokens: number;
  /** Generations at the engine, including own ones that its report doesn't include. */
  readonly running: number;
}

/** Whether a report taken at the given time must include the reservation. */
export function isIncludedInReport(
  { startedAtMs }: Pick<Reservation, 'startedAtMs'>,
  reportTakenAtMs: number,
  { reportSettleMs }: Pick<RoutingOptions, 'reportSettleMs'>,
): boolean {
  return startedAtMs + reportSettleMs <= reportTakenAtMs;
}

export function getSurvival({
  forecast,
  producedTokens,
}: Pick<Reservation, 'forecast' | 'producedTokens'>): SurvivalCurve {
  return forecast ? forecast.computeSurvival(producedTokens, HORIZONS_TOKENS) : NEVER_ENDING;
}

/** Mean and variance of the memory in use, by horizon. */
class MemoryCurve {
  private readonly means = HORIZONS_TOKENS.map(() => 0);

  private readonly variances = HORIZONS_TOKENS.map(() => 0);

  /** Adds `count` generations of the same current size; only those with a forecast grow. */
  add(count: number, sizeTokens: number, survival: SurvivalCurve): void {
    if (count <= 0) return;
    HORIZONS_TOKENS.forEach((horizon, index) => {
      const share = survival[index] ?? 0;
      const size = sizeTokens + (survival === NEVER_ENDING ? 0 : horizon);
      this.means[index] = (this.means[index] ?? 0) + count * share * size;
      this.variances[index] =
        (this.variances[index] ?? 0) + count * share * (1 - share) * size ** 2;
    });
  }

  findPeak(deviations: number): number {
    return Math.max(
      ...this.means.map((mean, index) => mean + deviations * Math.sqrt(this.variances[index] ?? 0)),
    );
  }
}

/** Predicts the memory with the given request added, if any. @public */
export function predictMemory(
  { report, reportAgeMs, reservations }: EndpointView,
  nowMs: number,
  request: Pick<Reservation, 'promptTokens' | 'producedTokens' | 'forecast'> | undefined,
  others: OtherNodesEstimate,
  options: RoutingOptions,
): MemoryPrediction {
  const takenAtMs = report ? nowMs - reportAgeMs : -Infinity;
  const grownTokens = report ? reportAgeMs / options.tokenGapMs : 0;
  const curve = new MemoryCurve();
  let reported = 0;
  let reportedTokens = 0;
  reservations.forEach((reservation) => {
    curve.add(1, reservation.promptTokens + reservation.producedTokens, getSurvival(reservation));
    if (!isIncludedInReport(reservation, takenAtMs, options)) return;
    reported += 1;
    reportedTokens +=
      reservation.promptTokens + Math.max(0, reservation.producedTokens - grownTokens);
  });
  const { running = 0, waiting = 0, memoryUsedTokens = 0 } = report ?? {};
  const otherGenerations = Math.max(0, running + waiting - reported);
  const otherWaiting = Math.min(otherGenerations, waiting);
  const otherRunning = otherGenerations - otherWaiting;
  const otherTokens = Math.max(0, memoryUsedTokens - reportedTokens);
  const grown = others.survival === NEVER_ENDING ? 0 : grownTokens;
  if (otherRunning > 0) {
    curve.add(otherRunning, otherTokens / otherRunning + grown, others.survival);
  } else curve.add(1, otherTokens, NEVER_ENDING);
  curve.add(otherWaiting + others.unreported, others.promptTokens, others.survival);
  if (request) curve.add(1, request.promptTokens, getSurvival(request));
  const reservableTokens = (report?.memoryTotalTokens ?? 0) * options.reservableShare;
  return {
    freeTokens: reservableTokens - curve.findPeak(options.reserveDeviations),
    running: otherGenerations + reservations.length,
  };
}

/** Mean of the remaining tokens, up to the last horizon. */
export function computeMeanRemaining(survival: SurvivalCurve): number {
  return HORIZONS_TOKENS.reduce((sum, horizon, index) => {
    const width = (HORIZONS_TOKENS[index + 1] ?? horizon) - horizon;
    return sum + (width * ((survival[index] ?? 0) + (survival[index + 1] ?? 0))) / 2;
  }, 0);
}

/** Survival curve with a constant probability of ending at each token. */
export function createExponentialSurvival(meanTokens: number): SurvivalCurve {
  return HORIZONS_TOKENS.map((horizon) => Math.exp(-horizon / meanTokens));
}

/** Mean of the curves; `NEVER_ENDING` if there are none. */
export function averageSurvival(curves: ReadonlyArray<SurvivalCurve>): SurvivalCurve {
  if (curves.length === 0) return NEVER_ENDING;
  return HORIZONS_TOKENS.map(
    (_, index) => curves.reduce((sum, curve) => sum + (curve[index] ?? 0), 0) / curves.length,
  );
}
