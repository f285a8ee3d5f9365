/**
 * The endpoints that a request may use, by their state, their data centre, their region, and the software
 * version at which its stream began. Each choice of an endpoint asks here, by the configuration in force
 * at that moment.
 */
import { ServingError } from '../../core';
import { explainUnusable, findRegionTerms, mayUseRegion, type RegionTerms } from '../../decisions';
import type { Kernel } from '../../kernel';
import { Deployment, type KnownBackEnd } from '../../services';
import type { PlacementInput } from './EndpointPlacer';
import { FORWARDING_OPTIONS } from './options';

/** Returns the version of an endpoint's software; empty if it isn't stated. @internal */
export function getSoftwareVersion({ softwareVersion = '' }: KnownBackEnd): string {
  return softwareVersion;
}

/** Whether one endpoint can use the memory of another, and go on with its streams. @internal */
export function haveSameVersion(one: KnownBackEnd, other: KnownBackEnd): boolean {
  return getSoftwareVersion(one) === getSoftwareVersion(other);
}

/** Whether a request may go to an endpoint although its stream may have begun elsewhere. */
function fitsStream({ softwareVersion }: PlacementInput, backEnd: KnownBackEnd): boolean {
  return softwareVersion === undefined || softwareVersion === getSoftwareVersion(backEnd);
}

/** @internal */
export class UsableEndpoints {
  constructor(private readonly kernel: Kernel) {}

  getTerms(work: PlacementInput): RegionTerms {
    return findRegionTerms(this.deployment.configuration, work);
  }

  list(work: PlacementInput): ReadonlyArray<KnownBackEnd> {
    const terms = this.getTerms(work);
    return this.deployment
      .listAssignable(work.service)
      .filter((backEnd) => this.isAllowed(terms, backEnd) && fitsStream(work, backEnd));
  }

  /** Whether a request may be sent to an endpoint that was chosen earlier. */
  includes(work: PlacementInput, { endpointId, startedAtWallMs }: KnownBackEnd): boolean {
    const known = this.deployment.find(endpointId);
    if (known?.startedAtWallMs !== startedAtWallMs || known.leavingSinceMs !== undefined) {
      return false;
    }
    const isEvacuated = this.deployment.getEvacuatedSinceMs(known.dataCentre) !== undefined;
    return !isEvacuated && fitsStream(work, known) && this.isAllowed(this.getTerms(work), known);
  }

  /**
   * Whether a run that has stopped may continue from its copy at an endpoint that was chosen before.
   * Nowhere else is its memory, so it goes on there shortly after its data centre was evacuated too,
   * and is complete well within the bound for evacuations.
   */
  mayContinueAt({ dataCentre }: KnownBackEnd): boolean {
    const sinceMs = this.deployment.getEvacuatedSinceMs(dataCentre);
    if (sinceMs === undefined) return true;
    const graceMs =
      this.deployment.bounds.evacuationWithinMs * FORWARDING_OPTIONS.evacuationGraceShare;
    return this.kernel.clock.nowMs() - sinceMs < graceMs;
  }

  /** Returns the refusal of a request that may use none of the endpoints in service. */
  explainNone(work: PlacementInput): ServingError | undefined {
    const terms = this.getTerms(work);
    const inService = this.deployment
      .listAll()
      .filter(
        ({ service, leavingSinceMs }) => service === work.service && leavingSinceMs === undefined,
      );
    const inAllowedRegions = inService.filter((backEnd) => this.isAllowed(terms, backEnd)).length;
    if (inService.length > 0 && !inService.some((backEnd) => fitsStream(work, backEnd))) {
      return this.explainVersion(work);
    }
    const elsewhere = inService.length - inAllowedRegions;
    const detail = explainUnusable(terms, { inAllowedRegions, elsewhere });
    if (detail === undefined) return undefined;
    return new ServingError('no-endpoint', {
      detail,
      clause: inAllowedRegions > 0 ? 'bounds.evacuationWithinMs' : terms.clause,
      retryAfterMs: FORWARDING_OPTIONS.unusableRetryAfterMs,
    });
  }

  private explainVersion({ softwareVersion, routeName }: PlacementInput): ServingError {
    return new ServingError('no-endpoint', {
      detail: `The stream began at the software version ${softwareVersion}, which no endpoint in service has.`,
      clause: `routes.${routeName}.targets`,
      retryAfterMs: FORWARDING_OPTIONS.unusableRetryAfterMs,
    });
  }

  private get deployment(): Deployment {
    return this.kernel.get(Deployment);
  }

  private isAllowed(terms: RegionTerms, { dataCentre }: KnownBackEnd): boolean {
    return mayUseRegion(terms, this.deployment.getRegion(dataCentre));
  }
}
