/**
 * Forecast of the room that the engines of a service will have for waiting generations.
 *
 * Runs free their memory when they end, so the room grows with the learned lengths and the measured
 * pace. An engine that leaves is no room, and the runs that migrate from it take room elsewhere.
 */
import { PLACEMENT_OPTIONS } from './placement';

export const ROOM_OPTIONS = {
  /** Time per token of engines whose pace isn't known yet. */
  defaultPaceMs: 30,
  /** Least share of the freed memory that the growth of other runs leaves; they end as well. */
  minNetShare: 0.5,
  /** Longest wait that is forecast. */
  horizonMs: 60_000,
  /** Precision of a forecast wait. */
  precisionMs: 20,
  /** Time that runs have for their migration at least, in which others end. */
  migrationMs: 1_000,
  /** How long after their engine began to leave moved runs may be missing in the newest loads. */
  migrationSettleMs: 500,
  /** Time after which the loads show all moved runs, so that none are assumed beyond it. */
  movesSeenAfterMs: 1_500,
} as const;

/** @public */
export interface EngineRoom {
  /** Runs migrate only within a region. */
  readonly region: string | undefined;
  readonly slots: number;
  readonly memoryTokens: number;
  /** Requests of all nodes there, including those in its queue. */
  readonly requests: number;
  readonly heldTokens: number;
  /** Memory of these requests when they end. */
  readonly finalTokens: number;
  /** Time per token; undefined if not measured. */
  readonly paceMs: number | undefined;
  readonly isLeaving: boolean;
  /** Memory of its runs for which the loads don't contain a place at another engine yet. */
  readonly movingTokens: number;
}

/** Room of one engine, now and growing. */
interface GrowingRoom {
  readonly freeTokens: number;
  readonly tokensPerMs: number;
  /** Memory that moved runs are assumed to hold, which the loads don't show. */
  readonly movedTokens: number;
  readonly freeSlots: number;
  readonly slotsPerMs: number;
}

/** @public */
export interface RoomForecast {
  readonly engines: ReadonlyArray<GrowingRoom>;
  /** Whether an engine that stays has no requests; the end of backups there can't be forecast. */
  readonly hasIdleEngine: boolean;
  /** Usable memory of the engines that stay. */
  readonly capacityTokens: number;
  /** Memory that nothing holds, less what moving runs will take. */
  readonly freeTokens: number;
  /** Memory that runs on leaving engines will need elsewhere. */
  readonly movingTokens: number;
  /** Memory that ending runs free, less the growth of the others. */
  readonly tokensPerMs: number;
}

/**
 * Whether the loads may lack the places that runs on a leaving engine have taken elsewhere.
 * @param loadAgeMs age of the loads of other nodes.
 */
export function mayHaveUnseenMoves(
  leavingSinceMs: number | undefined,
  loadAgeMs: number,
  nowMs: number,
): boolean {
  if (leavingSinceMs === undefined) return false;
  return nowMs - leavingSinceMs < loadAgeMs + ROOM_OPTIONS.migrationSettleMs;
}

/** Runs are assumed to be evenly spread over their lengths, so some are always about to end. */
function describeGrowth(engine: EngineRoom, movedTokens: number): GrowingRoom {
  const { slots, memoryTokens, requests, heldTokens, finalTokens } = engine;
  const paceMs = engine.paceMs ?? ROOM_OPTIONS.defaultPaceMs;
  const freeTokens = memoryTokens * PLACEMENT_OPTIONS.fullMemoryShare - heldTokens - movedTokens;
  const freeSlots = slots - requests;
  if (requests === 0) {
    return { freeTokens, movedTokens, freeSlots, tokensPerMs: 0, slotsPerMs: 0 };
  }
  const remainingTokens = Math.max(1, (finalTokens - heldTokens) / requests);
  const slotsPerMs = requests / (2 * remainingTokens * paceMs);
  const freedPerMs = slotsPerMs * (finalTokens / requests);
  const growthPerMs = requests / paceMs;
  const tokensPerMs = Math.max(freedPerMs * ROOM_OPTIONS.minNetShare, freedPerMs - growthPerMs);
  return { freeTokens, movedTokens, freeSlots, slotsPerMs, tokensPerMs };
}

export function forecastRoom(engines: ReadonlyArray<EngineRoom>): RoomForecast {
  const staying = engines.filter(({ isLeaving }) => !isLeaving);
  const regions = new Set(staying.map(({ region }) => region));
  const leaving = engines.filter(({ isLeaving, region }) => isLeaving && regions.has(region));
  const sumMoving = (region: string | undefined): number =>
    leaving
      .filter((engine) => engine.region === region)
      .reduce((sum, { movingTokens }) => sum + movingTokens, 0);
  const growing = staying.map((engine) => {
    const inRegion = staying.filter(({ region }) => region === engine.region).length;
    return describeGrowth(engine, sumMoving(engine.region) / inRegion);
  });
  return {
    engines: growing,
    hasIdleEngine: staying.some(({ requests }) => requests === 0),
    capacityTokens: staying.reduce(
      (sum, { memoryTokens }) => sum + memoryTokens * PLACEMENT_OPTIONS.fullMemoryShare,
      0,
    ),
    freeTokens: growing.reduce((sum, { freeTokens }) => sum + Math.max(0, freeTokens), 0),
    movingTokens: leaving.reduce((sum, { movingTokens }) => sum + movingTokens, 0),
    tokensPerMs: growing.reduce((sum, { tokensPerMs }) => sum + tokensPerMs, 0),
  };
}

function sumOver({ engines }: RoomForecast, count: (engine: GrowingRoom) => number): number {
  return engines.reduce((sum, engine) => sum + Math.max(0, count(engine)), 0);
}

/** Counts the requests of a size that the engines can have started by then. */
function countStarts(forecast: RoomForecast, needTokens: number, inMs: number): number {
  return sumOver(forecast, ({ freeTokens, tokensPerMs, freeSlots, slotsPerMs }) => {
    const byMemory = (freeTokens + tokensPerMs * inMs) / Math.max(1, needTokens);
    const bySlots = freeSlots + slotsPerMs * inMs;
    return Math.floor(Math.min(byMemory, bySlots));
  });
}

/**
 * Whether a request may take room that it finds now: runs that migrate have theirs before their engine
 * is gone, and the spare starts are left.
 */
export function leavesRoom(
  forecast: RoomForecast,
  needTokens: number,
  spareStarts: number,
): boolean {
  const isMoving = forecast.movingTokens > 0;
  if (!isMoving && spareStarts === 0) return true;
  const inMs = isMoving ? ROOM_OPTIONS.migrationMs : 0;
  return countStarts(forecast, needTokens, inMs) > spareStarts;
}

/** Requests that get room before another one. @public */
export interface RequestsAhead {
  readonly requests: number;
  /** Memory that they need to start, together. */
  readonly needTokens: number;
}

export const NONE_AHEAD: RequestsAhead = { requests: 0, needTokens: 0 };

/** Whether there is room by then for a request and, by their own sizes, for those ahead of it. */
function hasRoomFor(
  forecast: RoomForecast,
  needTokens: number,
  ahead: RequestsAhead,
  inMs: number,
): boolean {
  if (countStarts(forecast, needTokens, inMs) < 1) return false;
  if (ahead.requests === 0) return true;
  // Small requests fit where the request itself doesn't, so memory counts in their size.
  const unitTokens = Math.max(1, Math.min(needTokens, ahead.needTokens / ahead.requests));
  const units = sumOver(forecast, ({ freeTokens, tokensPerMs }) =>
    Math.floor((freeTokens + tokensPerMs * inMs) / unitTokens),
  );
  const places = sumOver(forecast, ({ freeSlots, slotsPerMs }) =>
    Math.floor(freeSlots + slotsPerMs * inMs),
  );
  return units * unitTokens >= ahead.needTokens + needTokens && places >= ahead.requests + 1;
}

function withoutMovedRuns(forecast: RoomForecast): RoomForecast {
  const engines = forecast.engines.map((engine) => ({
    ...engine,
    freeTokens: engine.freeTokens + engine.movedTokens,
    movedTokens: 0,
  }));
  return { ...forecast, engines };
}

/**
 * Returns the time until there is room for a request after those ahead of it; infinite if it is
 * beyond the horizon.
 */
export function forecastWaitMs(
  forecast: RoomForecast,
  needTokens: number,
  ahead: RequestsAhead,
): number {
  const { horizonMs, precisionMs, movesSeenAfterMs } = ROOM_OPTIONS;
  const later = withoutMovedRuns(forecast);
  const hasRoom = (inMs: number): boolean =>
    hasRoomFor(inMs < movesSeenAfterMs ? forecast : later, needTokens, ahead, inMs);
  if (hasRoom(0)) return 0;
  if (!hasRoom(horizonMs)) return Infinity;
  let tooEarlyMs = 0;
  let enoughMs: number = horizonMs;
  while (enoughMs - tooEarlyMs > precisionMs) {
    const middleMs = (tooEarlyMs + enoughMs) / 2;
    if (hasRoom(middleMs)) enoughMs = middleMs;
    else tooEarlyMs = middleMs;
  }
  return enoughMs;
}
