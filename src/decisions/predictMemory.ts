/**
 * Memory that an engine will need for the work it has, from a lagging report and the node's own
 * reservations.
 *
 * Generations grow by one token a step and give everything back at their end, so the memory is
 * predicted at several numbers of tokens from now: the mean and the variance of what is still
 * running then. A reservation that was made long enough before the report was taken is in the
 * reported memory; a later one is added in full.
 */
import type { EndpointView } from './EndpointView';
import type { Reservation } from './InFlightReservations';
import type { RoutingOptions } from './options';

/** Tokens from now at which memory is predicted. */
export const HORIZONS_TOKENS: ReadonlyArray<number> = [
  0, 64, 128, 256, 512, 1_024, 2_048, 4_096, 8_192,
];

/** Share of generations that still run at each horizon. @public */
export type SurvivalCurve = ReadonlyArray<number>;

const ALWAYS: SurvivalCurve = HORIZONS_TOKENS.map(() => 1);

/** Assumptions about work that other nodes sent. @public */
export interface OtherNodesEstimate {
  readonly survival: SurvivalCurve;
  /** Prompt of a generation that the report doesn't show as running. */
  readonly promptTokens: number;
  /** Generations that other nodes have sent to the engine since its report. */
  readonly unreported: number;
}

/** @public */
export interface MemoryPrediction {
  /** Memory that stays free at the worst horizon; negative when too much was promised. */
  readonly freeTokens: number;
  /** Generations there, with own ones that the report doesn't show. */
  readonly running: number;
}

/** Whether a report of the given age must show the reservation. */
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
  return forecast ? forecast.computeSurvival(producedTokens, HORIZONS_TOKENS) : ALWAYS;
}

/** Mean and variance of the memory in use, by horizon. */
class MemoryCurve {
  private readonly means = HORIZONS_TOKENS.map(() => 0);

  private readonly variances = HORIZONS_TOKENS.map(() => 0);

  /** Adds `count` generations of the same size now; those that are predicted grow. */
  add(count: number, sizeTokens: number, survival: SurvivalCurve): void {
    if (count <= 0) return;
    HORIZONS_TOKENS.forEach((horizon, index) => {
      const share = survival[index] ?? 0;
      const size = sizeTokens + (survival === ALWAYS ? 0 : horizon);
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

/** Memory with the request added, if any. @public */
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
  let shown = 0;
  let shownTokens = 0;
  reservations.forEach((held) => {
    curve.add(1, held.promptTokens + held.producedTokens, getSurvival(held));
    if (!isIncludedInReport(held, takenAtMs, options)) return;
    shown += 1;
    shownTokens += held.promptTokens + Math.max(0, held.producedTokens - grownTokens);
  });
  const { running = 0, waiting = 0, memoryUsedTokens = 0 } = report ?? {};
  const ofOthers = Math.max(0, running + waiting - shown);
  const waitingOfOthers = Math.min(ofOthers, waiting);
  const runningOfOthers = ofOthers - waitingOfOthers;
  const tokensOfOthers = Math.max(0, memoryUsedTokens - shownTokens);
  const grown = others.survival === ALWAYS ? 0 : grownTokens;
  if (runningOfOthers > 0) {
    curve.add(runningOfOthers, tokensOfOthers / runningOfOthers + grown, others.survival);
  } else curve.add(1, tokensOfOthers, ALWAYS);
  curve.add(waitingOfOthers + others.unreported, others.promptTokens, others.survival);
  if (request) curve.add(1, request.promptTokens, getSurvival(request));
  const reservable = (report?.memoryTotalTokens ?? 0) * options.reservableShare;
  return {
    freeTokens: reservable - curve.findPeak(options.reserveDeviations),
    running: ofOthers + reservations.length,
  };
}

/** Mean of the tokens still to come, as far as the horizons reach. */
export function computeMeanRemaining(survival: SurvivalCurve): number {
  return HORIZONS_TOKENS.reduce((sum, horizon, index) => {
    const width = (HORIZONS_TOKENS[index + 1] ?? horizon) - horizon;
    return sum + (width * ((survival[index] ?? 0) + (survival[index + 1] ?? 0))) / 2;
  }, 0);
}

/** Survival with a constant chance to end at each token. */
export function createExponentialSurvival(meanTokens: number): SurvivalCurve {
  return HORIZONS_TOKENS.map((horizon) => Math.exp(-horizon / meanTokens));
}

/** Mean of the curves; `ALWAYS` when there are none. */
export function averageSurvival(curves: ReadonlyArray<SurvivalCurve>): SurvivalCurve {
  if (curves.length === 0) return ALWAYS;
  return HORIZONS_TOKENS.map(
    (_, index) => curves.reduce((sum, curve) => sum + (curve[index] ?? 0), 0) / curves.length,
  );
}
