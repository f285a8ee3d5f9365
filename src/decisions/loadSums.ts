/**
 * Sums of the loads that nodes put on the endpoints.
 *
 * A placement needs the load of all other nodes on an endpoint, not that of each node, so the
 * aggregators of a data centre add the loads up and pass on the sums.
 */
import type { EndpointId } from '../core';

/** Load of one node on one endpoint. @public */
export interface EndpointLoad {
  readonly endpointId: EndpointId;
  /** Requests in flight. */
  readonly requests: number;
  /** KV cache that they occupy now. */
  readonly heldTokens: number;
  /** KV cache that they are expected to occupy when they end. */
  readonly finalTokens: number;
  /** Prompt tokens of the requests that have not produced a token yet. */
  readonly pendingPrefillTokens: number;
  /** Recently measured time per token, or per call; undefined when unknown. */
  readonly paceMs?: number | undefined;
}

/** Load of several nodes on one endpoint. @public */
export interface LoadSum extends Omit<EndpointLoad, 'endpointId' | 'paceMs'> {
  /** Sum of the times per token or call that `paceCount` of the nodes have measured. */
  readonly paceSumMs: number;
  readonly paceCount: number;
}

/** @public */
export type LoadSums = ReadonlyMap<EndpointId, LoadSum>;

export const NO_LOAD: LoadSum = {
  requests: 0,
  heldTokens: 0,
  finalTokens: 0,
  pendingPrefillTokens: 0,
  paceSumMs: 0,
  paceCount: 0,
};

export function addLoadSums(a: LoadSum, b: LoadSum): LoadSum {
  return {
    requests: a.requests + b.requests,
    heldTokens: a.heldTokens + b.heldTokens,
    finalTokens: a.finalTokens + b.finalTokens,
    pendingPrefillTokens: a.pendingPrefillTokens + b.pendingPrefillTokens,
    paceSumMs: a.paceSumMs + b.paceSumMs,
    paceCount: a.paceCount + b.paceCount,
  };
}

function toSum({ paceMs, requests, heldTokens, finalTokens, ...load }: EndpointLoad): LoadSum {
  return {
    requests,
    heldTokens,
    finalTokens,
    pendingPrefillTokens: load.pendingPrefillTokens,
    paceSumMs: paceMs ?? 0,
    paceCount: paceMs === undefined ? 0 : 1,
  };
}

/** Adds up the loads of several nodes by endpoint. */
export function sumLoads(loadsByNode: ReadonlyArray<ReadonlyArray<EndpointLoad>>): LoadSums {
  const sums = new Map<EndpointId, LoadSum>();
  loadsByNode.flat().forEach((load) => {
    const { endpointId } = load;
    sums.set(endpointId, addLoadSums(sums.get(endpointId) ?? NO_LOAD, toSum(load)));
  });
  return sums;
}

/** Adds up sums of different nodes by endpoint. */
export function combineLoadSums(parts: ReadonlyArray<LoadSums>): LoadSums {
  const sums = new Map<EndpointId, LoadSum>();
  parts.forEach((part) =>
    part.forEach((load, endpointId) =>
      sums.set(endpointId, addLoadSums(sums.get(endpointId) ?? NO_LOAD, load)),
    ),
  );
  return sums;
}

/** Sums over the nodes of one data centre, as one aggregator had them. @public */
export interface DataCentreLoads {
  readonly dataCentre: string;
  /** Monotonic time at or after which the sums were taken. */
  readonly takenAtMs: number;
  readonly sums: LoadSums;
}

/**
 * Adds up the loads of several data centres. Each data centre counts once, by its newest sums: its
 * aggregators all collect the loads of the same nodes.
 */
export function combineDataCentreLoads(parts: ReadonlyArray<DataCentreLoads>): LoadSums {
  const newest = new Map<string, DataCentreLoads>();
  parts.forEach((part) => {
    const known = newest.get(part.dataCentre);
    if (!known || known.takenAtMs < part.takenAtMs) newest.set(part.dataCentre, part);
  });
  return combineLoadSums([...newest.values()].map(({ sums }) => sums));
}

/** Removes the loads of one node from sums that contain them. */
export function subtractLoads(sums: LoadSums, loads: ReadonlyArray<EndpointLoad>): LoadSums {
  const rest = new Map(sums);
  loads.forEach((load) => {
    const sum = rest.get(load.endpointId) ?? NO_LOAD;
    const own = toSum(load);
    rest.set(load.endpointId, {
      requests: sum.requests - own.requests,
      heldTokens: sum.heldTokens - own.heldTokens,
      finalTokens: sum.finalTokens - own.finalTokens,
      pendingPrefillTokens: sum.pendingPrefillTokens - own.pendingPrefillTokens,
      paceSumMs: sum.paceSumMs - own.paceSumMs,
      paceCount: sum.paceCount - own.paceCount,
    });
  });
  return rest;
}
