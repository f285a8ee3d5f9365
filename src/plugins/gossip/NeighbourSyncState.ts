/**
 * The entries that a neighbour is known to hold, so that it is sent only what is new to it.
 *
 * Entries sent in a reply count as held once the neighbour acknowledges the reply. Times are on this
 * node's monotonic clock: the latest moment at which an entry is certain to have been true.
 */
import type { EndpointId, EndpointReport, Incarnation, VmId } from '../../core';
import type { ReportedNodeState } from '../../wire';

/** @internal */
export interface KnownState {
  readonly asOfMs: number;
  readonly state: ReportedNodeState;
  readonly incarnation: Incarnation;
}

/** @internal */
export interface KnownReport {
  readonly asOfMs: number;
  /** The report as it was last sent, without smaller changes since then. */
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

  private unacknowledged: { readonly sequence: number; readonly entries: KnownEntries } | undefined;

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

  /** Hashes of the VMs whose entries the neighbour must send in full. */
  get unresolvedHashes(): ReadonlyArray<number> {
    return this.unknownHashes;
  }

  recordReceived(
    sequence: number,
    entries: KnownEntries,
    unresolvedHashes: ReadonlyArray<number>,
  ): void {
    this.receivedSequence = sequence;
    this.unknownHashes = unresolvedHashes;
    this.addKnownEntries(entries);
  }

  recordSent(sequence: number, entries: KnownEntries): void {
    this.unacknowledged = { sequence, entries };
  }

  /** Handles the acknowledgement in a request; a node that holds nothing yet sends 0. */
  acknowledge(sequence: number): void {
    if (sequence === 0) {
      this.states.clear();
      this.reports.clear();
    } else if (this.unacknowledged?.sequence === sequence) {
      this.addKnownEntries(this.unacknowledged.entries);
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
