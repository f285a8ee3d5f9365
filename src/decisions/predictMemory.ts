/**
 * Memory that an engine will need for the work it has, from a lagging report and the node's own
 * reservations.
 *
 * A reservation that was made long enough before the report was taken is in the reported memory
 * with the tokens made until then; only its growth is added. A later one is added in full.
 */
import type { EndpointView } from './EndpointView';
import type { RoutingOptions } from './options';
import type { Reservation } from './InFlightReservations';

/** @public */
export interface MemoryPrediction {
  readonly totalTokens: number;
  /** Memory in use once all work has reached its predicted length. */
  readonly predictedTokens: number;
  /** Memory that may still be reserved; negative when too much was promised. */
  readonly freeTokens: number;
  /** Generations there, with own ones that the report doesn't show. */
  readonly running: number;
  /** Own reservations that the report doesn't show. */
  readonly unseen: number;
}

/** Assumptions about work that other nodes sent. @public */
export interface OthersAssumption {
  /** Tokens still to come for each generation of another node. */
  readonly remainingTokens: number;
  /** Prompt of a generation that waits at the engine. */
  readonly promptTokens: number;
}

/** Whether a report of the given age must show the reservation. */
export function isShownByReport(
  { startedAtMs }: Pick<Reservation, 'startedAtMs'>,
  reportTakenAtMs: number,
  { reportSettleMs }: Pick<RoutingOptions, 'reportSettleMs'>,
): boolean {
  return startedAtMs + reportSettleMs <= reportTakenAtMs;
}

function predictGrowth(reservation: Reservation, { reserveQuantile }: RoutingOptions): number {
  const { forecast, producedTokens } = reservation;
  return forecast ? forecast.predictRemainingTokens(producedTokens, reserveQuantile) : 0;
}

/** @public */
export function predictMemory(
  { report, reportAgeMs, reservations }: EndpointView,
  nowMs: number,
  others: OthersAssumption,
  options: RoutingOptions,
): MemoryPrediction {
  const takenAtMs = report ? nowMs - reportAgeMs : -Infinity;
  let own = 0;
  let shown = 0;
  reservations.forEach((reservation) => {
    own += predictGrowth(reservation, options);
    if (isShownByReport(reservation, takenAtMs, options)) {
      shown += 1;
      own += Math.min(reservation.producedTokens, reportAgeMs / options.tokenGapMs);
    } else {
      own += reservation.promptTokens + reservation.producedTokens;
    }
  });
  const reported = (report?.running ?? 0) + (report?.waiting ?? 0);
  const ofOthers = Math.max(0, reported - shown);
  const waitingOfOthers = Math.min(ofOthers, report?.waiting ?? 0);
  const totalTokens = report?.memoryTotalTokens ?? 0;
  const predictedTokens =
    (report?.memoryUsedTokens ?? 0) +
    own +
    ofOthers * others.remainingTokens +
    waitingOfOthers * others.promptTokens;
  return {
    totalTokens,
    predictedTokens,
    freeTokens: totalTokens * options.reservableShare - predictedTokens,
    running: ofOthers + reservations.length,
    unseen: reservations.length - shown,
  };
}
