/**
 * Decides whether new requests may go to an endpoint, by its VM entry, its report and their ages.
 */
import type { EndpointReport, Vm } from '../core';

/** @public */
export interface AssignabilityInput {
  readonly vm: Vm;
  /** Age of the newest confirmation of the VM list. */
  readonly listAgeMs: number;
  readonly report: EndpointReport | undefined;
  readonly reportAgeMs: number;
}

/** @public */
export type Assignability =
  { readonly allowed: true } | { readonly allowed: false; readonly reason: string };

/**
 * Either source can exclude an endpoint, and one fresh source is enough to keep it, so that an
 * outage of the VM list doesn't stop the fleet while the endpoints can still be polled.
 */
export function decideAssignability(
  { vm, listAgeMs, report, reportAgeMs }: AssignabilityInput,
  maxAgeMs: number,
): Assignability {
  if (vm.state === 'leaving') return { allowed: false, reason: 'the VM list marks it as leaving' };
  if (report?.leaving) return { allowed: false, reason: 'the endpoint reports that it is leaving' };
  if (Math.min(listAgeMs, reportAgeMs) > maxAgeMs) {
    return { allowed: false, reason: `no update of it was received for ${maxAgeMs} ms` };
  }
  return { allowed: true };
}
