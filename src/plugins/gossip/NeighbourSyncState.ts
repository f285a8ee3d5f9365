/**
 * What a neighbour is known to hold, so that it is sent only what is new to it.
 *
 * What was sent in a reply counts as held once the neighbour acknowledges the reply. Times are on
 * this node's clock: the moment at which a state was true at the latest that can be promised.
 */
import type { EndpointId, EndpointReport, Incarnation, VmId } from '../../core';
import type { ReportedNodeState } from '../../wire';

/** @internal */
export interface KnownState {
  readonly heardAtMs: number;
  readonly state: ReportedNodeState;
  readonly incarnation: Incarnation;
}

/** @internal */
export interface KnownReport {
  readonly heardAtMs: number;
  /** The report as it was last sent; smaller changes since then are not in it. */
  readonly report: EndpointReport;
}

/** @internal */
export interface KnownEntries {
  readonly states: ReadonlyArray<readonly [VmId, KnownState]>;
  readonly reports: ReadonlyArray<readonly [EndpointId, KnownReport]>;
}

/** @internal */
export class NeighbourSyncState {
  /** Monotonic time of the last exchange with the neighbour. */
  lastUsedMs = 0;

  private readonly states = new Map<VmId, KnownState>();

  private readonly reports = new Map<EndpointId, KnownReport>();

  private unacknowledged: { readonly sequence: number; readonly marks: KnownEntries } | undefined;

  /** Sequence number of the neighbour's last reply. */
  private receivedSequence = 0;

  private unknownHashes: ReadonlyArray<number> = [];

  getState(vmId: VmId): KnownState | undefined {
    return this.states.get(vmId);
  }

  getReport(endpointId: EndpointId): KnownReport | undefined {
    return this.reports.get(endpointId);
  }

  get lastSequence(): number {
    return this.receivedSequence;
  }

  /** VMs that the neighbour must send in full. */
  get unresolvedHashes(): ReadonlyArray<number> {
    return this.unknownHashes;
  }

  recordReceived(sequence: number, marks: KnownEntries, unknown: ReadonlyArray<number>): void {
    this.receivedSequence = sequence;
    this.unknownHashes = unknown;
    this.addKnownEntries(marks);
  }

  recordSent(sequence: number, marks: KnownEntries): void {
    this.unacknowledged = { sequence, marks };
  }

  /** Takes the acknowledgement in a request; 0 comes from a node that holds nothing. */
  acknowledge(sequence: number): void {
    if (sequence === 0) {
      this.states.clear();
      this.reports.clear();
    } else if (this.unacknowledged?.sequence === sequence) {
      this.addKnownEntries(this.unacknowledged.marks);
    }
    this.unacknowledged = undefined;
  }

  clearEntries(vmId: VmId): void {
    this.states.delete(vmId);
    this.reports.delete(vmId as string as EndpointId);
  }

  private addKnownEntries({ states, reports }: KnownEntries): void {
    states.forEach(([vmId, known]) => this.states.set(vmId, known));
    reports.forEach(([endpointId, known]) => this.reports.set(endpointId, known));
  }
}
