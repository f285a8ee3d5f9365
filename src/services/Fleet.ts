/**
 * Who is here: entry VMs with their nodes, and endpoints.
 *
 * Joins the published VM list with what nodes and endpoints say of themselves, each with its age.
 */
import type { EndpointId, EndpointReport, Incarnation, Vm, VmId } from '../core';

/** @public */
export interface FleetNode {
  readonly vm: Vm;
  /** Unknown until the node has been heard of. */
  readonly incarnation: Incarnation | undefined;
  /** What the node last said of itself; `unknown` when it hasn't been heard of lately. */
  readonly state: 'starting' | 'serving' | 'draining' | 'unknown';
  /** Age of what the node last said of itself; infinite when nothing was heard. */
  readonly stateAgeMs: number;
}

/** @public */
export interface FleetEndpoint {
  readonly endpointId: EndpointId;
  readonly vm: Vm;
  readonly report: EndpointReport | undefined;
  /** Age of the report; infinite without one. */
  readonly reportAgeMs: number;
  /** Whether new work may be assigned, and if not, why. */
  readonly assignable:
    { readonly allowed: true } | { readonly allowed: false; readonly reason: string };
}

/** Report of an endpoint as nodes exchange it. @public */
export interface AgedReport {
  readonly endpointId: EndpointId;
  readonly report: EndpointReport;
  readonly ageMs: number;
}

/** State of a node as nodes exchange it. @public */
export interface AgedNodeState {
  readonly vmId: VmId;
  readonly incarnation: Incarnation;
  readonly state: 'starting' | 'serving' | 'draining';
  readonly ageMs: number;
}

/** @public */
export abstract class Fleet {
  abstract get self(): {
    readonly vmId: VmId;
    readonly dataCentre: string;
    readonly region: string;
  };

  /** Entry VMs of the published list, this one included. */
  abstract listNodes(): ReadonlyArray<FleetNode>;

  abstract findNode(vmId: VmId): FleetNode | undefined;

  /** Engines and services of the published list. */
  abstract listEndpoints(): ReadonlyArray<FleetEndpoint>;

  abstract findEndpoint(endpointId: EndpointId): FleetEndpoint | undefined;

  /** Takes reports that are newer than those held. */
  abstract mergeReports(reports: ReadonlyArray<AgedReport>): void;

  /** Takes node states that are newer than those held. */
  abstract mergeNodeStates(states: ReadonlyArray<AgedNodeState>): void;

  /** Calls the listener after newer reports were taken, so that waiting work can be looked at. */
  abstract onReports(listener: () => void): void;

  abstract listReports(): ReadonlyArray<AgedReport>;

  abstract listNodeStates(): ReadonlyArray<AgedNodeState>;
}
