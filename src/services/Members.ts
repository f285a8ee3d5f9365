/**
 * Membership: the other nodes of the fleet, and the load that they put on the endpoints.
 */
import type { EndpointId, Incarnation, VmId } from '../core';
import type { EndpointLoad, LoadSum, NodeRoster } from '../decisions';

/** How a node is reached, and whether callers should be sent to it. @public */
export interface MemberIdentity {
  readonly vmId: VmId;
  readonly incarnation: Incarnation;
  readonly dataCentre: string;
  readonly region: string;
  readonly peerAddress: string;
  readonly callerAddress: string;
  /** Whether callers should be directed to it. */
  readonly takesCallers: boolean;
}

/** @public */
export interface KnownMember extends MemberIdentity {
  /** Time since this node, or one that it exchanges states with, last heard from the node. */
  readonly stateAgeMs: number;
}

/** @public */
export abstract class Members {
  /** Returns the other nodes that were heard of within the time after which one is unresponsive. */
  abstract listLive(): ReadonlyArray<KnownMember>;

  /**
   * Returns the number of nodes among which a budget of the fleet is divided, including this one.
   * It counts nodes that were live until recently, and is infinite just after the start of this
   * node, and while it knows none of the others that its settings name: the sum of the shares must
   * not exceed the budget.
   */
  abstract countSharingNodes(): number;

  /** Returns all nodes that may be running, whether or not this one hears from them. */
  abstract getRoster(): NodeRoster;

  /** Returns the total load of the other live nodes on an endpoint. */
  abstract getLoadOfOthers(endpointId: EndpointId): LoadSum;

  /** Returns the age of that load; 0 while every change is announced at once. */
  abstract getLoadAgeMs(): number;

  /** Whether this node reads the published configuration and endpoints from their source. */
  abstract readsSource(): boolean;

  /** Whether other nodes get what this node reads from the source. */
  abstract readsForOthers(): boolean;

  /** Returns the nodes that this one follows instead of the source, best first; empty on a reader. */
  abstract listReaders(): ReadonlyArray<VmId>;

  /**
   * Whether this node has what the fleet shares: a node that had it has answered, or none could be
   * reached within a time after the start.
   */
  abstract hasJoined(): boolean;

  /** Calls the listener whenever the load of other nodes was updated. */
  abstract onUpdate(listener: () => void): void;

  /** Sends a change of this node's load to the other nodes immediately, unless they are many. */
  abstract announce(): void;

  /** Sends a rare change to all nodes that this one exchanges states with, however many there are. */
  abstract announceToPartners(): void;
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
