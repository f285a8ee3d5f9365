/**
 * Handlers of messages to the witnesses of a ticket.
 */
import type { z } from 'zod';
import type { CloseVerdict, StoredOutcome } from '../../decisions';
import type { Kernel } from '../../kernel';
import { PeerHandler, type Peer } from '../../services';
import {
  outcomeReportSchema,
  reservedCallSchema,
  reserveRequestSchema,
  type grantReplySchema,
  type outcomeReplySchema,
  type reserveReplySchema,
} from './messages';
import type { ReservationTable } from './ReservationTable';

type ReservedCall = z.infer<typeof reservedCallSchema>;

/** Copies the body, a view of a frame that would otherwise stay in memory. */
function copyOutcome(outcome: StoredOutcome): StoredOutcome {
  if (outcome.state === 'failed') return outcome;
  const { answer } = outcome;
  return { state: 'answered', answer: { ...answer, body: new Uint8Array(answer.body) } };
}

/** @internal */
export class ReserveHandler extends PeerHandler<typeof reserveRequestSchema> {
  readonly type = 'operation.reserve';

  readonly schema = reserveRequestSchema;

  constructor(
    private readonly kernel: Kernel,
    private readonly table: ReservationTable,
  ) {
    super();
  }

  async handle(
    from: Peer,
    { remainingMs }: z.infer<typeof reserveRequestSchema>,
  ): Promise<z.infer<typeof reserveReplySchema>> {
    // A draining node would lose the reservation soon, when it stops.
    if (this.kernel.state !== 'serving') return {};
    const reservation = this.table.reserve(from, remainingMs);
    return reservation ? { reservation } : {};
  }
}

/** @internal */
export class GrantHandler extends PeerHandler<typeof reservedCallSchema> {
  readonly type = 'operation.grant';

  readonly schema = reservedCallSchema;

  constructor(private readonly table: ReservationTable) {
    super();
  }

  async handle(
    from: Peer,
    { reservation, fingerprint }: ReservedCall,
  ): Promise<z.infer<typeof grantReplySchema>> {
    const { granted, reason } = this.table.grant(from, reservation, fingerprint);
    return { granted, reason };
  }
}

/** @internal */
export class CloseHandler extends PeerHandler<typeof reservedCallSchema> {
  readonly type = 'operation.close';

  readonly schema = reservedCallSchema;

  constructor(private readonly table: ReservationTable) {
    super();
  }

  async handle(from: Peer, { reservation, fingerprint }: ReservedCall): Promise<CloseVerdict> {
    return this.table.close(from, reservation, fingerprint);
  }
}

/** @internal */
export class OutcomeHandler extends PeerHandler<typeof outcomeReportSchema> {
  readonly type = 'operation.outcome';

  readonly schema = outcomeReportSchema;

  constructor(private readonly table: ReservationTable) {
    super();
  }

  async handle(
    from: Peer,
    { reservation, fingerprint, outcome }: z.infer<typeof outcomeReportSchema>,
  ): Promise<z.infer<typeof outcomeReplySchema>> {
    const kept = this.table.storeOutcome(from, reservation, fingerprint, copyOutcome(outcome));
    return { kept };
  }
}
