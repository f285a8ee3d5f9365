/**
 * The places of brittle endpoints, which fall over when they have to reject too many requests in a
 * second, divided among the live nodes.
 *
 * The endpoints of a service become brittle together. One that has said nothing, such as one that is
 * back after it fell over, counts as brittle while another one of its service is.
 *
 * A node without a share at any endpoint of the service may be a guest at one of them, and have one
 * request there while the endpoint is known to be less than half full.
 */
import {
  computePlaceQuota,
  listGuests,
  REQUEST_QUOTA_OPTIONS,
  type NodeRoster,
} from '../../decisions';
import type { EndpointId } from '../../core';
import type { Kernel } from '../../kernel';
import { Deployment, Members, type KnownBackEnd } from '../../services';
import type { LiveRoster } from './LiveRoster';
import type { NamedLimits } from './NamedLimits';
import { FORWARDING_OPTIONS } from './options';
import { QuotaSource, type QuotaInForce } from './QuotaSource';

/** What holds for all endpoints of a service for a short time. */
interface BrittleService {
  readonly roster: NodeRoster;
  /** Revision of the limits by which it was found. */
  readonly revision: number;
  readonly validUntilMs: number;
  /** Fewest rejections a second that one of its endpoints survives; undefined if none is brittle. */
  readonly minRejections: number | undefined;
  /** Endpoint at which this node is a guest. */
  readonly home: EndpointId | undefined;
}

/** @internal */
export class BrittleQuotas extends QuotaSource {
  /** By name; a placement asks for each endpoint, and the answer looks at all of them. */
  private readonly services = new Map<string, BrittleService>();

  constructor(
    private readonly kernel: Kernel,
    private readonly roster: LiveRoster,
    private readonly limits: NamedLimits,
  ) {
    super();
  }

  override find(backEnd: KnownBackEnd): QuotaInForce | undefined {
    if (this.limits.size === 0) return undefined;
    const roster = this.roster.describe();
    const service = this.describe(backEnd.service, roster);
    const maxRejectionsPerSecond = this.findMaxRejections(backEnd, service.minRejections);
    if (maxRejectionsPerSecond === undefined) return undefined;
    const { endpointId, slots } = backEnd;
    const quota = computePlaceQuota(slots, maxRejectionsPerSecond);
    // Other nodes may have more requests there than their shares, from before it was brittle.
    const { requests: ofOthers } = this.kernel.get(Members).getLoadOfOthers(endpointId);
    const mayTakeGuests = ofOthers < slots * REQUEST_QUOTA_OPTIONS.guestLoadShare;
    return {
      ...quota,
      roster,
      minShare: mayTakeGuests && service.home === endpointId ? 1 : 0,
      maxShare: quota.requests - ofOthers,
      endsAtMs: Infinity,
    };
  }

  private describe(service: string, roster: NodeRoster): BrittleService {
    const { revision } = this.limits;
    const nowMs = this.kernel.clock.nowMs();
    const known = this.services.get(service);
    const isKnown = known?.roster === roster && known.revision === revision;
    if (isKnown && nowMs < known.validUntilMs) return known;
    const minRejections = this.findMinRejections(service);
    const home =
      minRejections === undefined ? undefined : this.findHome(service, roster, minRejections);
    const validUntilMs = nowMs + FORWARDING_OPTIONS.brittleReuseMs;
    const described = { roster, revision, validUntilMs, minRejections, home };
    this.services.set(service, described);
    return described;
  }

  /** Large fleets have more nodes than a small service has places. */
  private findHome(
    service: string,
    roster: NodeRoster,
    minRejections: number,
  ): EndpointId | undefined {
    const places = this.kernel
      .get(Deployment)
      .listAssignable(service)
      .flatMap((each) => {
        const maxRejectionsPerSecond = this.findMaxRejections(each, minRejections);
        if (maxRejectionsPerSecond === undefined) return [];
        const { requests } = computePlaceQuota(each.slots, maxRejectionsPerSecond);
        const maxGuests = Math.floor(each.slots + maxRejectionsPerSecond) - requests;
        return [{ endpointId: each.endpointId, requests, maxGuests }];
      });
    return listGuests(roster, places).get(this.kernel.settings.vmId);
  }

  /** @param minRejections of its service, for an endpoint that has said nothing. */
  private findMaxRejections(
    backEnd: KnownBackEnd,
    minRejections: number | undefined,
  ): number | undefined {
    return this.limits.has(backEnd) ? this.limits.find(backEnd) : minRejections;
  }

  private findMinRejections(service: string): number | undefined {
    const deployment = this.kernel.get(Deployment);
    const stated = this.limits.list().flatMap(({ endpointId }) => {
      const backEnd = deployment.find(endpointId);
      return backEnd?.service === service ? (this.limits.find(backEnd) ?? []) : [];
    });
    return stated.length === 0 ? undefined : Math.min(...stated);
  }
}
