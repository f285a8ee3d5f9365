/**
 * Chooses the nodes that a node exchanges its state with.
 *
 * A small fleet is a full mesh. In a larger one a few nodes of each data centre are its aggregators:
 * the other nodes of the data centre exchange states only with them, and the aggregators of all data
 * centres with each other. The links of a node are then bounded by the size of its data centre, and
 * a change reaches every node over two aggregators.
 *
 * The aggregators are chosen by rendezvous hashing over the nodes that a node knows. They are not
 * elected: a node that is asked answers, so nodes with different lists still get answers.
 */
import type { VmId } from '../core';
import { rankByRendezvous } from './rendezvous';

export const EXCHANGE_OPTIONS = {
  /** Nodes up to which the fleet is a full mesh. */
  fullMeshNodes: 16,
  /** Nodes that read from the source for all others, each in another data centre if there are enough. */
  readers: 3,
  /** Nodes without a recent sign that a small rest of a fleet tries to reach as well. */
  silentPartners: 3,
  /** Aggregators of a data centre; with two, the loss of one is not noticed elsewhere. */
  aggregatorsPerDataCentre: 2,
} as const;

/** @public */
export interface ExchangeNode {
  readonly vmId: VmId;
  readonly dataCentre: string;
  /** False while the node drains or doesn't know whether its configuration is current. */
  readonly takesCallers: boolean;
  /** Whether it didn't answer this node's last message, not long ago. */
  readonly hasFailed: boolean;
}

/** @public */
export type ExchangeRole =
  /** Exchanges states with every other node. */
  | 'mesh'
  /** Collects the states of its data centre. */
  | 'aggregator'
  /** Exchanges states only with the aggregators of its data centre. */
  | 'member';

/** @public */
export interface ExchangePartners {
  readonly role: ExchangeRole;
  /** In order of preference. */
  readonly partners: ReadonlyArray<VmId>;
  /** Nodes from which this one gets what was read from the source; empty if it reads itself. */
  readonly readers: ReadonlyArray<VmId>;
}

/** Ranks the nodes that take callers and answer, or those that answer, or all. */
function rankNodes(duty: string, nodes: ReadonlyArray<ExchangeNode>): ReadonlyArray<ExchangeNode> {
  const answering = nodes.filter(({ hasFailed }) => !hasFailed);
  const accepting = answering.filter(({ takesCallers }) => takesCallers);
  const candidates = [accepting, answering].find(({ length }) => length > 0) ?? nodes;
  return rankByRendezvous(duty, candidates, ({ vmId }) => vmId);
}

function chooseAggregators(nodes: ReadonlyArray<ExchangeNode>): ReadonlyArray<VmId> {
  return rankNodes('aggregator', nodes)
    .slice(0, EXCHANGE_OPTIONS.aggregatorsPerDataCentre)
    .map(({ vmId }) => vmId);
}

function chooseSourceReaders(candidates: ReadonlyArray<ExchangeNode>): ReadonlyArray<VmId> {
  const ranked = rankNodes('reader', candidates);
  const firstOfEach = ranked.filter(
    (node, index) => ranked.findIndex(({ dataCentre }) => dataCentre === node.dataCentre) === index,
  );
  const rest = ranked.filter((node) => !firstOfEach.includes(node));
  return [...firstOfEach, ...rest].slice(0, EXCHANGE_OPTIONS.readers).map(({ vmId }) => vmId);
}

/**
 * @param others the other live nodes.
 * @param silent nodes without a recent sign. They are asked where no other node is left: after the
 *   loss of most of a fleet, a node may not have heard of those that remain.
 * @param isAsked whether other nodes of the data centre take this node for an aggregator.
 */
export function chooseExchangePartners(
  self: ExchangeNode,
  others: ReadonlyArray<ExchangeNode>,
  silent: ReadonlyArray<ExchangeNode>,
  isAsked: boolean,
): ExchangePartners {
  const nodes = [self, ...others];
  const followReaders = (readers: ReadonlyArray<VmId>): ReadonlyArray<VmId> =>
    readers.includes(self.vmId) ? [] : readers;
  if (nodes.length <= EXCHANGE_OPTIONS.fullMeshNodes) {
    const tried = rankNodes(self.vmId, silent);
    const partners = [...others, ...tried.slice(0, EXCHANGE_OPTIONS.silentPartners)].map(
      ({ vmId }) => vmId,
    );
    return { role: 'mesh', partners, readers: followReaders(chooseSourceReaders(nodes)) };
  }
  const listAggregators = (dataCentre: string): ReadonlyArray<VmId> => {
    const isThere = (node: ExchangeNode): boolean => node.dataCentre === dataCentre;
    const live = nodes.filter(isThere);
    return chooseAggregators(live.length > 0 ? live : silent.filter(isThere));
  };
  const own = listAggregators(self.dataCentre);
  if (!own.includes(self.vmId) && !isAsked) {
    return { role: 'member', partners: own, readers: own };
  }
  const dataCentres = [...new Set([...nodes, ...silent].map(({ dataCentre }) => dataCentre))];
  const aggregators = dataCentres.flatMap(listAggregators);
  const readers = chooseSourceReaders(nodes.filter(({ vmId }) => aggregators.includes(vmId)));
  const partners = aggregators.filter((vmId) => vmId !== self.vmId);
  return { role: 'aggregator', partners, readers: followReaders(readers) };
}
