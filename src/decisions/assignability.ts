/**
 * Whether new work may go to an endpoint, given what is known and how old it is.
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
 * Either source may exclude an endpoint; one fresh source is enough to keep it, so that an outage
 * of the VM list doesn't stop the fleet while the endpoints themselves can be asked.
 */
export function decideAssignability(
  { vm, listAgeMs, report, reportAgeMs }: AssignabilityInput,
  maxAgeMs: number,
): Assignability {
  if (vm.state === 'leaving') return { allowed: false, reason: 'the VM list says that it leaves' };
  if (report?.leaving) return { allowed: false, reason: 'the endpoint says that it leaves' };
  if (Math.min(listAgeMs, reportAgeMs) > maxAgeMs) {
    return { allowed: false, reason: `nothing was heard of it for ${maxAgeMs} ms` };
  }
  return { allowed: true };
}
