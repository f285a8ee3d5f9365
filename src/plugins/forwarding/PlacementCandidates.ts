/**
 * Collects load, health, pace and distance of the endpoints that a placement chooses from.
 */
import type { EndpointId } from '../../core';
import {
  compareLoads,
  computeSlowness,
  type EndpointHealth,
  type EndpointPace,
  type EndpointSpeeds,
  type PlacementCandidate,
} from '../../decisions';
import type { Kernel } from '../../kernel';
import { Deployment, Members, type KnownBackEnd } from '../../services';
import type { EndpointQuotas } from './EndpointQuotas';
import type { EndpointConnections } from './EndpointConnections';
import type { PlacementInput } from './EndpointPlacer';
import { FORWARDING_OPTIONS } from './options';
import type { LocalLoad } from './LocalLoad';

/** @internal */
export interface CandidateSources {
  readonly connections: EndpointConnections;
  readonly localLoad: LocalLoad;
  readonly health: EndpointHealth;
  readonly pace: EndpointPace;
  readonly speeds: EndpointSpeeds;
  readonly quotas: EndpointQuotas;
}

/** @internal */
export class PlacementCandidates {
  constructor(
    private readonly kernel: Kernel,
    private readonly parts: CandidateSources,
  ) {}

  /** @param nearDataCentre data centre from which the distance is determined. */
  list(
    work: PlacementInput,
    backEnds: ReadonlyArray<KnownBackEnd>,
    nearDataCentre: string,
  ): ReadonlyArray<PlacementCandidate> {
    const countsByRegion = this.countByRegion(work.service);
    const connectionShare = this.getConnectionShare(work);
    const pacesMs = backEnds.map(({ endpointId }) => this.findPaceMs(endpointId));
    const described = backEnds.map((backEnd) => ({
      backEnd,
      view: this.describeOne(work, backEnd, nearDataCentre),
    }));
    const timeFactors = this.computeTimeFactors(
      described.map(({ view }) => view),
      pacesMs,
    );
    const knownPacesMs = pacesMs.filter((paceMs) => paceMs !== undefined);
    return described.map(({ backEnd, view }, index) => ({
      ...view,
      hasQuota: this.parts.quotas.hasRoom(backEnd, work.configuration),
      hasConnection: this.parts.connections.countBusy(backEnd) < connectionShare,
      endpointsInRegion: countsByRegion.get(this.getRegion(backEnd.dataCentre)) ?? 1,
      slowness: computeSlowness(pacesMs[index], knownPacesMs),
      paceMs: pacesMs[index],
      timeFactor: timeFactors[index] ?? 1,
    }));
  }

  /** Records the paces of endpoints with similar load, and compares their lasting speeds. */
  private computeTimeFactors(
    described: ReadonlyArray<Pick<PlacementCandidate, 'endpointId' | 'requests'>>,
    pacesMs: ReadonlyArray<number | undefined>,
  ): ReadonlyArray<number> {
    const nowMs = this.kernel.clock.nowMs();
    const areComparable = compareLoads(described.map(({ requests }) => requests));
    described.forEach(({ endpointId }, index) => {
      const paceMs = areComparable[index] ? pacesMs[index] : undefined;
      if (paceMs !== undefined) this.parts.speeds.observe(endpointId, paceMs, nowMs);
    });
    const endpointIds = described.map(({ endpointId }) => endpointId);
    return this.parts.speeds.computeTimeFactors(endpointIds, nowMs);
  }

  /** Returns the mean of the paces measured by this node and by the others. */
  private findPaceMs(endpointId: EndpointId): number | undefined {
    const own = this.parts.pace.get(endpointId, this.kernel.clock.nowMs());
    const { paceSumMs, paceCount } = this.kernel.get(Members).getLoadOfOthers(endpointId);
    const count = paceCount + (own === undefined ? 0 : 1);
    return count === 0 ? undefined : (paceSumMs + (own ?? 0)) / count;
  }

  private describeOne(
    work: PlacementInput,
    backEnd: KnownBackEnd,
    nearDataCentre: string,
  ): Omit<
    PlacementCandidate,
    'endpointsInRegion' | 'slowness' | 'paceMs' | 'timeFactor' | 'hasConnection' | 'hasQuota'
  > {
    const nowMs = this.kernel.clock.nowMs();
    const own = this.parts.localLoad.getLoad(backEnd.endpointId);
    const others = this.kernel.get(Members).getLoadOfOthers(backEnd.endpointId);
    const profile = work.configuration.services.get(work.service);
    return {
      endpointId: backEnd.endpointId,
      slots: backEnd.slots,
      memoryTokens: profile?.engine?.memoryTokens,
      requests: own.requests + others.requests,
      heldTokens: own.heldTokens + others.heldTokens,
      finalTokens: own.finalTokens + others.finalTokens,
      pendingPrefillTokens: own.pendingPrefillTokens + others.pendingPrefillTokens,
      ownPendingPrefillTokens: own.pendingPrefillTokens,
      distance: this.getDistance(backEnd.dataCentre, nearDataCentre),
      failureShare: this.parts.health.getFailureShare(backEnd.endpointId, nowMs),
      isWarmingUp: backEnd.warmUpUntilMs > nowMs,
      isEjected: this.parts.health.isEjected(backEnd.endpointId, nowMs),
    };
  }

  private getDistance(dataCentre: string, other: string): PlacementCandidate['distance'] {
    if (dataCentre === other) return 'same-data-centre';
    return this.getRegion(dataCentre) === this.getRegion(other) ? 'same-region' : 'other-region';
  }

  private getRegion(dataCentre: string): string | undefined {
    return this.kernel.get(Deployment).getRegion(dataCentre);
  }

  /** Counts the endpoints of a service by region, including those the request has already tried. */
  private countByRegion(service: string): ReadonlyMap<string | undefined, number> {
    const counts = new Map<string | undefined, number>();
    this.kernel
      .get(Deployment)
      .listAssignable(service)
      .map(({ dataCentre }) => this.getRegion(dataCentre))
      .forEach((region) => counts.set(region, (counts.get(region) ?? 0) + 1));
    return counts;
  }

  private getConnectionShare({ configuration, service }: PlacementInput): number {
    const { maxConnections = Infinity } = configuration.services.get(service) ?? {};
    const nodes = this.kernel.get(Members).countSharingNodes();
    const share = Math.floor((maxConnections * FORWARDING_OPTIONS.connectionShare) / nodes);
    return Math.max(FORWARDING_OPTIONS.minConnections, share);
  }
}
