/**
 * Decides which software version of a service began a stream, and which nodes keep that.
 *
 * A record of the stream is certain. Without one, the version is known only if no other one can have
 * served since the stream may have begun. What this node hasn't heard of has to be read after the request
 * has arrived: a node that is cut off, or stood still, doesn't notice that its list is older than the
 * stream. For the time before that, a node has watched the list for long enough. If all nodes are new, two
 * things stand for it: the source's history of the list, which shows the endpoints that have left lately,
 * and a list in which no endpoint has started lately, because the source may have dropped its history.
 */
import { rankByRendezvous } from './rendezvous';

export const ORIGIN_OPTIONS = {
  /** Longest time since the first event of a stream, as a multiple of its route's time limit. */
  windowFactor: 2,
  /** Nodes of a large fleet to which the origin of a stream is sent, besides the one that forwards it. */
  keepers: 2,
  /** Up to this size of the fleet each node is a keeper, as all are linked anyway. */
  maxMeshNodes: 16,
  /** Keepers that are asked in a larger fleet, where nodes may see different lists. */
  askedKeepers: 8,
} as const;

/** Where a stream began. @public */
export interface StreamOrigin {
  readonly service: string;
  /** Empty if the engine doesn't state one. */
  readonly softwareVersion: string;
}

/** What one node knows of the endpoints of a service. @public */
export interface VersionSightings {
  /** Software versions that were listed within the window. */
  readonly versions: ReadonlyArray<string>;
  /** For how long the node has followed the list without a gap. */
  readonly coveredForMs: number;
  /** Age of its list. */
  readonly listAgeMs: number;
}

/** What changes of the list, read from the source, show of a service. @public */
export interface PastVersions {
  /** Software versions that were listed. */
  readonly versions: ReadonlyArray<string>;
  /** Whether endpoints have left whose service and version they don't show. */
  readonly hasUnknownRemovals: boolean;
}

/** History that shows nothing which the list doesn't. @public */
export const EMPTY_HISTORY: PastVersions = { versions: [], hasUnknownRemovals: false };

/** @public */
export interface OriginEvidence {
  readonly service: string;
  /** Origins that nodes have recorded for the stream. */
  readonly records: ReadonlyArray<StreamOrigin>;
  readonly own: VersionSightings;
  /** Of the nodes that answered. */
  readonly others: ReadonlyArray<VersionSightings>;
  /**
   * Changes up to the arrival of the request that this node hadn't heard of; undefined if they couldn't
   * be read.
   */
  readonly missed: PastVersions | undefined;
  /** Time since the newest start among the listed endpoints of the service. */
  readonly newestStartAgeMs: number;
  readonly windowMs: number;
  /** Time since this node found that the source had dropped changes which it hasn't seen. */
  readonly historyLostAgeMs: number;
  /** Undefined if the source couldn't be asked. */
  readonly history: PastVersions | undefined;
}

/** @public */
export type OriginVerdict =
  | {
      readonly outcome: 'known';
      readonly origin: StreamOrigin;
      /** `only version followed`: a node has watched the list for long; `listed`: no node has. */
      readonly by: 'record' | 'only version followed' | 'only version listed';
    }
  | { readonly outcome: 'unknown'; readonly reason: string };

function refuseVersions(service: string, versions: ReadonlyArray<string>): OriginVerdict {
  const reason = `endpoints of ${service} have served with the versions ${versions.join(', ')}`;
  return { outcome: 'unknown', reason };
}

/** Decides for an origin that is the only one listed now, while no node has followed the list. */
function decideByHistory(
  { service, newestStartAgeMs, windowMs, historyLostAgeMs, history }: OriginEvidence,
  origin: StreamOrigin,
): OriginVerdict {
  const refuse = (cause: string): OriginVerdict => ({
    outcome: 'unknown',
    reason: `no node has followed ${service} for long, and ${cause}`,
  });
  if (newestStartAgeMs < windowMs) return refuse('an endpoint has started lately');
  if (historyLostAgeMs < windowMs) return refuse('the source has dropped changes lately');
  if (!history) return refuse('the history of the list could not be read');
  const versions = [...new Set([origin.softwareVersion, ...history.versions])].sort();
  if (versions.length > 1) return refuseVersions(service, versions);
  if (history.hasUnknownRemovals) return refuse('endpoints of unknown versions have left lately');
  return { outcome: 'known', origin, by: 'only version listed' };
}

function isSameOrigin(one: StreamOrigin, other: StreamOrigin): boolean {
  return one.service === other.service && one.softwareVersion === other.softwareVersion;
}

/** Returns the versions of which anything is known. */
function listVersions({ own, others, missed }: OriginEvidence): ReadonlyArray<string> {
  const sighted = [own, ...others].flatMap((seen) => seen.versions);
  return [...new Set([...sighted, ...(missed?.versions ?? [])])].sort();
}

/**
 * Returns for how long the list has been followed until now, by this node or by another one whose list
 * was current when this one began to follow it.
 */
function computeCoveredForMs({ own, others }: OriginEvidence): number {
  const joined = others.filter(({ listAgeMs }) => listAgeMs <= own.coveredForMs);
  return Math.max(...[own, ...joined].map(({ coveredForMs }) => coveredForMs));
}

/** @public */
export function decideOrigin(evidence: OriginEvidence): OriginVerdict {
  const { service, records, missed, windowMs } = evidence;
  const [record] = records;
  if (record && records.some((other) => !isSameOrigin(record, other))) {
    return { outcome: 'unknown', reason: 'nodes have different records of it' };
  }
  if (record) return { outcome: 'known', origin: record, by: 'record' };
  const versions = listVersions(evidence);
  const [softwareVersion] = versions;
  if (softwareVersion === undefined) {
    return { outcome: 'unknown', reason: `no endpoint of ${service} is known` };
  }
  if (versions.length > 1) return refuseVersions(service, versions);
  if (!missed) {
    const reason = `no node has a record of it, and the endpoints of ${service} could not be read`;
    return { outcome: 'unknown', reason };
  }
  if (missed.hasUnknownRemovals) {
    const reason =
      'no node has a record of it, and endpoints of unknown versions have left just now';
    return { outcome: 'unknown', reason };
  }
  const origin = { service, softwareVersion };
  if (computeCoveredForMs(evidence) >= windowMs) {
    return { outcome: 'known', origin, by: 'only version followed' };
  }
  return decideByHistory(evidence, origin);
}

/** Whether the decision depends on changes that this node hasn't heard of yet. @public */
export function needsMissed(evidence: OriginEvidence): boolean {
  return evidence.records.length === 0 && listVersions(evidence).length <= 1;
}

/** Whether the decision depends on the source's history, which then has to be read. @public */
export function needsHistory(evidence: OriginEvidence): boolean {
  const verdict = decideOrigin({ ...evidence, history: EMPTY_HISTORY });
  return verdict.outcome === 'known' && verdict.by === 'only version listed';
}

const isMesh = (others: number): boolean => others + 1 <= ORIGIN_OPTIONS.maxMeshNodes;

/**
 * Returns the nodes that may know where a stream began, the most likely ones first. In a large fleet
 * they are some of the nodes, so that not every node has a link to every other one.
 * @param others ids of the other nodes.
 */
export function rankKeepers<Id extends string>(
  firstRequestId: string,
  others: ReadonlyArray<Id>,
): ReadonlyArray<Id> {
  const getId = (id: Id): string => id;
  if (isMesh(others.length)) return rankByRendezvous(firstRequestId, others, getId);
  const poolSize = Math.ceil(2 * Math.sqrt(others.length + 1));
  const pool = rankByRendezvous('keepers of stream origins', others, getId).slice(0, poolSize);
  const { askedKeepers } = ORIGIN_OPTIONS;
  return rankByRendezvous(firstRequestId, pool, getId).slice(0, askedKeepers);
}

/**
 * Returns the nodes that are told where a stream begins: all of a small fleet, as most of its nodes may
 * be killed at the same moment.
 */
export function chooseKeepers<Id extends string>(
  firstRequestId: string,
  others: ReadonlyArray<Id>,
): ReadonlyArray<Id> {
  if (isMesh(others.length)) return others;
  return rankKeepers(firstRequestId, others).slice(0, ORIGIN_OPTIONS.keepers);
}
