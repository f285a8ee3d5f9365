/**
 * The entry VMs with their nodes, and the endpoints.
 *
 * Combines the published VM list with the status that nodes and endpoints report, and its age.
 */
import type { EndpointId, EndpointReport, Incarnation, Vm, VmId } from '../core';

/** @public */
export interface FleetNode {
  readonly vm: Vm;
  /** Undefined until the node has reported its state. */
  readonly incarnation: Incarnation | undefined;
  /** State that the node last reported; `unknown` when the report is too old. */
  readonly state: 'starting' | 'serving' | 'draining' | 'unknown';
  /** Age of the last reported state; infinite without one. */
  readonly stateAgeMs: number;
}

/** @public */
export interface FleetEndpoint {
  readonly endpointId: EndpointId;
  readonly vm: Vm;
  readonly report: EndpointReport | undefined;
  /** Age of the report; infinite without one. */
  readonly reportAgeMs: number;
  /** Whether new work may be assigned, with the reason if not. */
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

  /** Returns the entry VMs of the published list, including this one. */
  abstract listNodes(): ReadonlyArray<FleetNode>;

  abstract findNode(vmId: VmId): FleetNode | undefined;

  /** Returns the engines and services of the published list. */
  abstract listEndpoints(): ReadonlyArray<FleetEndpoint>;

  abstract findEndpoint(endpointId: EndpointId): FleetEndpoint | undefined;

  /** Applies the reports that are newer than the stored ones. */
  abstract mergeReports(reports: ReadonlyArray<AgedReport>): void;

  /** Applies the node states that are newer than the stored ones. */
  abstract mergeNodeStates(states: ReadonlyArray<AgedNodeState>): void;

  /** Calls the listener after newer reports were applied, so that waiting work can be rechecked. */
  abstract onReports(listener: () => void): void;

  abstract listReports(): ReadonlyArray<AgedReport>;

  abstract listNodeStates(): ReadonlyArray<AgedNodeState>;
}
