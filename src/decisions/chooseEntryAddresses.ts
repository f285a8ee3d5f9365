/**
 * Chooses the node addresses that a caller is directed to.
 */

/** @public */
export interface EntryNode {
  readonly callerAddress: string;
  readonly dataCentre: string;
  readonly region: string;
  readonly takesCallers: boolean;
}

export const ENTRY_OPTIONS = {
  /** Minimum number of nodes in the caller's data centre or region to return only those. */
  minNearNodes: 2,
  /** The same in the region if requests may be constrained to regions. */
  minNodesInConstrainedRegion: 1,
  /** Maximum number of addresses in an answer. */
  maxAddresses: 64,
} as const;

/**
 * Returns the nearest nodes that accept callers, at least two if there are two. If none accepts
 * callers it returns all nodes: a caller without an address couldn't be told when to retry.
 * @param hasRegionConstraint whether any route or customer names regions. The caller's customer isn't
 *   known here, and only its own region is certain to be one where its bodies may be received.
 */
export function chooseEntryAddresses(
  nodes: ReadonlyArray<EntryNode>,
  caller: { readonly dataCentre: string | undefined; readonly region: string | undefined },
  hasRegionConstraint = false,
): ReadonlyArray<string> {
  const accepting = nodes.filter(({ takesCallers }) => takesCallers);
  const usable = accepting.length > 0 ? accepting : nodes;
  const { minNearNodes, minNodesInConstrainedRegion } = ENTRY_OPTIONS;
  const minInRegion = hasRegionConstraint ? minNodesInConstrainedRegion : minNearNodes;
  const inDataCentre = usable.filter(({ dataCentre }) => dataCentre === caller.dataCentre);
  const inRegion = usable.filter(({ region }) => region === caller.region);
  const nearest = inRegion.length >= minInRegion ? inRegion : usable;
  const scope = inDataCentre.length >= minNearNodes ? inDataCentre : nearest;
  return scope.slice(0, ENTRY_OPTIONS.maxAddresses).map(({ callerAddress }) => callerAddress);
}
