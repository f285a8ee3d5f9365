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
  /** Maximum number of addresses in an answer. */
  maxAddresses: 64,
} as const;

/**
 * Returns the nearest nodes that accept callers, at least two if there are two. If none accepts
 * callers it returns all nodes: a caller without an address couldn't be told when to retry.
 */
export function chooseEntryAddresses(
  nodes: ReadonlyArray<EntryNode>,
  caller: { readonly dataCentre: string | undefined; readonly region: string | undefined },
): ReadonlyArray<string> {
  const accepting = nodes.filter(({ takesCallers }) => takesCallers);
  const usable = accepting.length > 0 ? accepting : nodes;
  const scopes = [
    usable.filter(({ dataCentre }) => dataCentre === caller.dataCentre),
    usable.filter(({ region }) => region === caller.region),
  ];
  const scope = scopes.find((near) => near.length >= ENTRY_OPTIONS.minNearNodes) ?? usable;
  return scope.slice(0, ENTRY_OPTIONS.maxAddresses).map(({ callerAddress }) => callerAddress);
}
