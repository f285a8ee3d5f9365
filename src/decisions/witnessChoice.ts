/**
 * Orders the nodes that are candidates for witnessing a ticket.
 */
import type { VmId } from '../core';

/** @public */
export interface WitnessCandidate {
  readonly vmId: VmId;
  readonly dataCentre: string;
  readonly region: string;
}

/**
 * Rank of a candidate's location; lower is better. A witness in another data centre survives the
 * loss of the owner's. Within the region the latency is 1 ms instead of 8 ms, without traffic on
 * the link between regions.
 */
function rankLocation(candidate: WitnessCandidate, self: WitnessCandidate): number {
  if (candidate.dataCentre === self.dataCentre) return 2;
  return candidate.region === self.region ? 0 : 1;
}

/**
 * Returns the candidates in the order in which they are asked. `turn` rotates the nodes of equal
 * rank, which spreads an owner's tickets over them.
 */
export function orderWitnesses(
  self: WitnessCandidate,
  candidates: ReadonlyArray<WitnessCandidate>,
  turn: number,
): ReadonlyArray<VmId> {
  const others = candidates.filter(({ vmId }) => vmId !== self.vmId);
  return [0, 1, 2].flatMap((rank) => {
    const equals = others.filter((candidate) => rankLocation(candidate, self) === rank);
    const start = equals.length === 0 ? 0 : turn % equals.length;
    return [...equals.slice(start), ...equals.slice(0, start)].map(({ vmId }) => vmId);
  });
}
