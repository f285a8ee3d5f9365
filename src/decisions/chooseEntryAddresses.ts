/**
 * Addresses that a caller is told to connect to.
 */

/** @public */
export interface EntryNode {
  readonly callerAddress: string;
  readonly dataCentre: string;
  readonly region: string;
  readonly takesCallers: boolean;
}

export const ENTRY_OPTIONS = {
  /** Nodes of the caller's own data centre, or region, with which only they are named. */
  minNearNodes: 2,
  /** Most addresses in an answer. */
  maxAddresses: 64,
} as const;

/**
 * The nearest nodes that take callers, with at least two to choose from where there are two. When
 * none takes callers all are named: a caller without an address can't be told when to come back.
 */
export function chooseEntryAddresses(
  nodes: ReadonlyArray<EntryNode>,
  caller: { readonly dataCentre: string | undefined; readonly region: string | undefined },
): ReadonlyArray<string> {
  const taking = nodes.filter(({ takesCallers }) => takesCallers);
  const usable = taking.length > 0 ? taking : nodes;
  const scopes = [
    usable.filter(({ dataCentre }) => dataCentre === caller.dataCentre),
    usable.filter(({ region }) => region === caller.region),
  ];
  const scope = scopes.find((near) => near.length >= ENTRY_OPTIONS.minNearNodes) ?? usable;
  return scope.slice(0, ENTRY_OPTIONS.maxAddresses).map(({ callerAddress }) => callerAddress);
}
