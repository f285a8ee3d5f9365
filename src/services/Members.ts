/**
 * The other nodes of the fleet and what they say of themselves.
 */
import type { EndpointId, Incarnation, VmId } from '../core';

/** Work of one node at one endpoint. @public */
export interface EndpointLoad {
  readonly endpointId: EndpointId;
  /** Requests under way. */
  readonly requests: number;
  /** Engine memory that they hold now, in tokens. */
  readonly heldTokens: number;
  /** Engine memory that they are expected to hold at their ends. */
  readonly finalTokens: number;
  /** Prompt tokens of those that have made no token yet. */
  readonly pendingPrefillTokens: number;
  /** Time for a token, or for a call, as the node has seen it lately; undefined when unknown. */
  readonly paceMs?: number | undefined;
}

/** What a node says of itself. @public */
export interface MemberState {
  readonly vmId: VmId;
  readonly incarnation: Incarnation;
  readonly dataCentre: string;
  readonly region: string;
  readonly peerAddress: string;
  readonly callerAddress: string;
  /** Whether callers should be sent to it. */
  readonly takesCallers: boolean;
  readonly loads: ReadonlyArray<EndpointLoad>;
}

/** @public */
export interface KnownMember extends MemberState {
  readonly stateAgeMs: number;
}

/** @public */
export abstract class Members {
  /** Nodes heard of within the time after which one counts as silent, without this one. */
  abstract listLive(): ReadonlyArray<KnownMember>;

  /** Sums the work of the other live nodes at an endpoint. */
  abstract getLoadOfOthers(endpointId: EndpointId): Omit<EndpointLoad, 'endpointId' | 'paceMs'>;

  /** Paces of an endpoint that the other live nodes have seen lately. */
  abstract listPacesMs(endpointId: EndpointId): ReadonlyArray<number>;

  /** Calls the listener whenever another node has told its state. */
  abstract onUpdate(listener: () => void): void;

  /** Tells the other nodes of a change of this node's state at once, unless they are many. */
  abstract announce(): void;
}

/** Tells the work of this node by endpoint. @public */
export abstract class LoadSource {
  abstract listLoads(): ReadonlyArray<EndpointLoad>;
}

/** Whether callers should be sent to this node. Plug-ins provide any number of them. @public */
export abstract class CallerAdmission {
  abstract takesCallers(): boolean;
}

/** Addresses of links at which other nodes may be found. @public */
export abstract class SeedAddresses {
  abstract listAddresses(): ReadonlyArray<string>;
}
