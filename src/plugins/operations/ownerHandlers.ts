/**
 * Handlers of messages to the owner of a ticket.
 */
import { computeCallFingerprint } from '../../decisions';
import type { Kernel } from '../../kernel';
import { PeerHandler, type Peer } from '../../services';
import {
  findRequestSchema,
  runRequestSchema,
  type FindReply,
  type OperationResult,
  type RunRequest,
} from './messages';
import type { OperationOwner } from './OperationOwner';
import type { TicketedOperations } from './TicketedOperations';

/** @internal */
export class RunHandler extends PeerHandler<typeof runRequestSchema> {
  readonly type = 'operation.run';

  readonly schema = runRequestSchema;

  constructor(
    private readonly kernel: Kernel,
    private readonly operations: TicketedOperations,
    private readonly owner: OperationOwner,
  ) {
    super();
  }

  async handle(_from: Peer, request: RunRequest): Promise<OperationResult> {
    const { key, kindOfWork, call, requestId, remainingMs } = request;
    const ticket = this.operations.readTicket(key);
    if (ticket.kindOfWork !== kindOfWork) {
      return { state: 'reused', detail: `The key was issued for ${ticket.kindOfWork}.` };
    }
    return this.owner.run({
      ticket,
      // Copied because the bytes are a view of a frame that would otherwise stay in memory.
      call: { ...call, body: new Uint8Array(call.body) },
      fingerprint: computeCallFingerprint({ ...call, kindOfWork }),
      requestId,
      deadlineMs: this.kernel.clock.nowMs() + remainingMs,
    });
  }
}

/** @internal */
export class FindHandler extends PeerHandler<typeof findRequestSchema> {
  readonly type = 'operation.find';

  readonly schema = findRequestSchema;

  constructor(private readonly operations: TicketedOperations) {
    super();
  }

  async handle(_from: Peer, { key }: { readonly key: string }): Promise<FindReply> {
    return this.operations.findLocal(key);
  }
}
