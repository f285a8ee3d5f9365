/**
 * Grants trials of quarantined parts, one at a time in the fleet.
 *
 * For each part one node is in charge, by rendezvous hashing over the live nodes. It grants a trial
 * if by its own evidence the part may be tried and no other trial of it is running.
 */
import * as z from 'zod';
import { promptPartIdSchema, ServingError, type PromptPartId } from '../../core';
import { pickByRendezvous } from '../../decisions';
import type { Kernel } from '../../kernel';
import { Members, PeerHandler, Peers, Quarantine, type Peer } from '../../services';
import { QUARANTINE_OPTIONS } from './options';

const MESSAGE_TYPE = 'quarantine.trial';

const requestSchema = z.object({ part: promptPartIdSchema }).readonly();

const replySchema = z.object({ isGranted: z.boolean() }).readonly();

/** @internal */
export class TrialGrants {
  private readonly grantedAtMs = new Map<PromptPartId, number>();

  constructor(private readonly kernel: Kernel) {}

  /** Asks the node in charge; an unreachable one grants nothing. */
  async take(part: PromptPartId): Promise<boolean> {
    const { clock, log, settings } = this.kernel;
    const nodes = [
      settings.vmId,
      ...this.kernel
        .get(Members)
        .listLive()
        .map(({ vmId }) => vmId),
    ];
    const inCharge = pickByRendezvous(`trial ${part}`, nodes);
    if (inCharge === undefined || inCharge === settings.vmId) return this.grant(part);
    try {
      const deadlineMs = clock.nowMs() + QUARANTINE_OPTIONS.trialCallTimeoutMs;
      const reply = await this.kernel.get(Peers).call(inCharge, MESSAGE_TYPE, { part }, deadlineMs);
      return replySchema.parse(reply).isGranted;
    } catch (thrown) {
      log.info('trial not granted', { part, member: inCharge, cause: ServingError.from(thrown) });
      return false;
    }
  }

  /** Grants a trial as the node in charge. */
  grant(part: PromptPartId): boolean {
    const nowMs = this.kernel.clock.nowMs();
    const { trialTimeoutMs, maxTrials } = QUARANTINE_OPTIONS;
    const lastMs = this.grantedAtMs.get(part) ?? -Infinity;
    const isDue = this.kernel.get(Quarantine).check([part]).outcome === 'trial';
    if (!isDue || nowMs - lastMs < trialTimeoutMs) return false;
    this.grantedAtMs.delete(part);
    this.grantedAtMs.set(part, nowMs);
    const [oldest] = this.grantedAtMs.keys();
    if (this.grantedAtMs.size > maxTrials && oldest) this.grantedAtMs.delete(oldest);
    return true;
  }
}

/** @internal */
export class TrialHandler extends PeerHandler<typeof requestSchema> {
  readonly type = MESSAGE_TYPE;

  readonly schema = requestSchema;

  constructor(private readonly trials: TrialGrants) {
    super();
  }

  async handle(_from: Peer, { part }: z.infer<typeof requestSchema>): Promise<unknown> {
    return { isGranted: this.trials.grant(part) };
  }
}
