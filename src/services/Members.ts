/**
 * Membership: the other nodes of the fleet and the states that they report.
 */
import type { EndpointId, Incarnation, VmId } from '../core';

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

/** State that a node reports about itself. @public */
export interface MemberState {
  readonly vmId: VmId;
  readonly incarnation: Incarnation;
  readonly dataCentre: string;
  readonly region: string;
  readonly peerAddress: string;
  readonly callerAddress: string;
  /** Whether callers should be directed to it. */
  readonly takesCallers: boolean;
  readonly loads: ReadonlyArray<EndpointLoad>;
}

/** @public */
export interface KnownMember extends MemberState {
  readonly stateAgeMs: number;
}

/** @public */
export abstract class Members {
  /** Returns the other nodes that reported within the time after which a node is unresponsive. */
  abstract listLive(): ReadonlyArray<KnownMember>;

  /** Returns the total load of the other live nodes on an endpoint. */
  abstract getLoadOfOthers(endpointId: EndpointId): Omit<EndpointLoad, 'endpointId' | 'paceMs'>;

  /** Returns the times that the other live nodes have recently measured for an endpoint. */
  abstract listPacesMs(endpointId: EndpointId): ReadonlyArray<number>;

  /** Calls the listener whenever another node has reported its state. */
  abstract onUpdate(listener: () => void): void;

  /** Sends a change of this node's state to the other nodes immediately, unless they are many. */
  abstract announce(): void;
}

/** Lists the load of this node on each endpoint. @public */
export abstract class LoadSource {
  abstract listLoads(): ReadonlyArray<EndpointLoad>;
}

/** Condition for directing callers to this node. Plug-ins register any number of them. @public */
export abstract class CallerAdmission {
  abstract takesCallers(): boolean;
}

/** Peer addresses through which this node discovers other nodes. @public */
export abstract class SeedAddresses {
  abstract listAddresses(): ReadonlyArray<string>;
}
