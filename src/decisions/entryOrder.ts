/**
 * Orders the nodes that a caller may connect to.
 */
import type { Vm } from '../core';
import { hashText } from './hashText';

/** @public */
export interface EntryCandidate {
  readonly vm: Vm;
  readonly isServing: boolean;
}

/**
 * Returns the serving nodes whose VM isn't leaving: first those of the caller's data centre, then
 * of its region, then the others. Within each group the order depends on the salt, which spreads
 * callers over the nodes.
 */
export function orderEntries(
  candidates: ReadonlyArray<EntryCandidate>,
  caller: { readonly dataCentre: string; readonly region: string },
  salt: string,
): ReadonlyArray<Vm> {
  const getDistance = (vm: Vm): number => {
    if (vm.dataCentre === caller.dataCentre) return 0;
    return vm.region === caller.region ? 1 : 2;
  };
  return candidates
    .filter(({ vm, isServing }) => isServing && vm.state === 'live')
    .map(({ vm }) => ({
      vm,
      distance: getDistance(vm),
      position: hashText(`${salt}\n${vm.vmId}`),
    }))
    .sort((a, b) => a.distance - b.distance || a.position - b.position)
    .map(({ vm }) => vm);
}
