/**
 * Forecasts the room on the engines of a service from their loads, paces and announced departures.
 */
import {
  forecastRoom,
  mayHaveUnseenMoves,
  ROOM_OPTIONS,
  type EndpointPace,
  type EngineRoom,
  type RoomForecast,
} from '../../decisions';
import type { Kernel } from '../../kernel';
import { Deployment, Members, type KnownBackEnd } from '../../services';
import type { PlacementInput } from './EndpointPlacer';
import type { LocalLoad } from './LocalLoad';
import { FORWARDING_OPTIONS } from './options';
import type { UsableEndpoints } from './UsableEndpoints';

/** @internal */
export interface RoomSources {
  readonly localLoad: LocalLoad;
  readonly pace: EndpointPace;
}

interface DatedForecast {
  readonly madeAtMs: number;
  readonly forecast: RoomForecast;
}

/** @internal */
export class RoomForecaster {
  private readonly recent = new Map<string, DatedForecast>();

  constructor(
    private readonly kernel: Kernel,
    private readonly usable: UsableEndpoints,
    private readonly sources: RoomSources,
  ) {}

  /** Returns a key that is the same for requests that may use the same engines. */
  getRoomKey(work: PlacementInput): string {
    const { allowed } = this.usable.getTerms(work);
    return `${work.service} ${allowed?.join() ?? ''}`;
  }

  /** Forecasts the room on the engines that the request may use. */
  forecast(work: PlacementInput): RoomForecast {
    const nowMs = this.kernel.clock.nowMs();
    const key = this.getRoomKey(work);
    const known = this.recent.get(key);
    if (known && nowMs - known.madeAtMs < FORWARDING_OPTIONS.forecastReuseMs) return known.forecast;
    const forecast = this.compute(work);
    this.recent.set(key, { madeAtMs: nowMs, forecast });
    return forecast;
  }

  /** Makes the next forecast take account of a change of this node's load. */
  invalidate(): void {
    this.recent.clear();
  }

  /** Returns the mean time per token of the engines. */
  getPaceMs(work: PlacementInput): number {
    const pacesMs = this.usable
      .list(work)
      .flatMap(({ endpointId }) => this.findPaceMs(endpointId) ?? []);
    if (pacesMs.length === 0) return ROOM_OPTIONS.defaultPaceMs;
    return pacesMs.reduce((sum, paceMs) => sum + paceMs, 0) / pacesMs.length;
  }

  private compute(work: PlacementInput): RoomForecast {
    const { configuration, service } = work;
    const memoryTokens = configuration.services.get(service)?.engine?.memoryTokens ?? Infinity;
    const staying = this.usable.list(work);
    const stayingIds = new Set(staying.map(({ endpointId }) => endpointId));
    const leaving = this.kernel
      .get(Deployment)
      .listAll()
      .filter((backEnd) => backEnd.service === service && !stayingIds.has(backEnd.endpointId))
      .filter((backEnd) => this.findLeavingSinceMs(backEnd) !== undefined);
    return forecastRoom(
      [...staying, ...leaving].map((backEnd) => this.describe(backEnd, memoryTokens)),
    );
  }

  /** An evacuated data centre loses its runs just like an engine that leaves. */
  private findLeavingSinceMs({ leavingSinceMs, dataCentre }: KnownBackEnd): number | undefined {
    return leavingSinceMs ?? this.kernel.get(Deployment).getEvacuatedSinceMs(dataCentre);
  }

  private describe(backEnd: KnownBackEnd, memoryTokens: number): EngineRoom {
    const { endpointId, slots, dataCentre } = backEnd;
    const leavingSinceMs = this.findLeavingSinceMs(backEnd);
    const members = this.kernel.get(Members);
    const own = this.sources.localLoad.getLoad(endpointId);
    const others = members.getLoadOfOthers(endpointId);
    const nowMs = this.kernel.clock.nowMs();
    const hasUnseenMoves = mayHaveUnseenMoves(leavingSinceMs, members.getLoadAgeMs(), nowMs);
    return {
      region: this.kernel.get(Deployment).getRegion(dataCentre),
      slots,
      memoryTokens,
      requests: own.requests + others.requests,
      heldTokens: own.heldTokens + others.heldTokens,
      finalTokens: own.finalTokens + others.finalTokens,
      paceMs: this.findPaceMs(endpointId),
      isLeaving: leavingSinceMs !== undefined,
      // Runs of this node have their place at another engine as soon as they begin to migrate.
      movingTokens: hasUnseenMoves ? others.heldTokens : 0,
    };
  }

  private findPaceMs(endpointId: KnownBackEnd['endpointId']): number | undefined {
    const own = this.sources.pace.get(endpointId, this.kernel.clock.nowMs());
    if (own !== undefined) return own;
    const { paceSumMs, paceCount } = this.kernel.get(Members).getLoadOfOthers(endpointId);
    return paceCount === 0 ? undefined : paceSumMs / paceCount;
  }
}
