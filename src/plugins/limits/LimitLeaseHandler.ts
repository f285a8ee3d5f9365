/**
 * Handles lease requests from other nodes.
 */
import { PeerHandler, type Peer } from '../../services';
import { leaseRequestSchema, type LeaseReply, type LeaseRequest } from './leaseMessages';
import type { LimitHome } from './LimitHome';

/** @internal */
export class LimitLeaseHandler extends PeerHandler<typeof leaseRequestSchema> {
  readonly type = 'limit.lease';

  readonly schema = leaseRequestSchema;

  constructor(private readonly home: LimitHome) {
    super();
  }

  async handle(from: Peer, body: LeaseRequest): Promise<LeaseReply> {
    return this.home.grant(`${from.vmId}/${from.incarnation}`, body);
  }
}
