/**
 * Pushes changed records to the neighbours at once; each forwards the records that are new to it.
 *
 * A push may be lost; comparing digests then finds the missing records.
 */
import * as z from 'zod';
import { publishedRecordSchema, type PublishedRecord, type VmId } from '../../core';
import { PeerHandler, type Peer, type Peers, type PublishedState } from '../../services';
import { getPackedBytes } from '../../wire';
import { GOSSIP_OPTIONS } from './options';

const PUSH_TYPE = 'published.push';

const pushSchema = z.array(publishedRecordSchema).readonly();

interface PendingRecord {
  readonly record: PublishedRecord;
  readonly from: VmId | undefined;
}

/** @internal */
export class RecordPush extends PeerHandler<typeof pushSchema> {
  readonly type = PUSH_TYPE;

  readonly schema = pushSchema;

  private pending: PendingRecord[] = [];

  /** The node whose records are being merged. */
  private mergeSender: VmId | undefined;

  private isForwardingSuspended = false;

  constructor(
    private readonly published: PublishedState,
    private readonly peers: () => Peers,
    private readonly listNeighbours: () => ReadonlyArray<VmId>,
  ) {
    super();
    published.onChange('', (record) => this.add(record));
  }

  async handle(from: Peer, records: ReadonlyArray<PublishedRecord>): Promise<void> {
    this.mergeFrom(from.vmId, records);
  }

  /** Merges records and forwards the new ones to all neighbours except their sender. */
  mergeFrom(vmId: VmId, records: ReadonlyArray<PublishedRecord>): void {
    this.mergeSender = vmId;
    try {
      this.published.merge(records);
    } finally {
      this.mergeSender = undefined;
    }
  }

  /** Merges records without forwarding them. */
  mergeWithoutForwarding(records: ReadonlyArray<PublishedRecord>): void {
    this.isForwardingSuspended = true;
    try {
      this.published.merge(records);
    } finally {
      this.isForwardingSuspended = false;
    }
  }

  private add(record: PublishedRecord): void {
    if (this.isForwardingSuspended) return;
    if (this.pending.length === 0) queueMicrotask(() => this.flush());
    this.pending.push({ record, from: this.mergeSender });
  }

  private flush(): void {
    const changes = this.pending;
    this.pending = [];
    const totalBytes = changes.reduce((bytes, { record }) => bytes + getPackedBytes(record), 0);
    if (totalBytes > GOSSIP_OPTIONS.maxPushBytes) return;
    this.listNeighbours().forEach((vmId) => {
      const records = changes.filter(({ from }) => from !== vmId).map(({ record }) => record);
      if (records.length > 0) this.peers().send(vmId, PUSH_TYPE, records);
    });
  }
}
