/**
 * Grants trials of quarantined parts, one at a time in the fleet.
 *
 * For parts that are quarantined together one node is in charge, by rendezvous hashing over the live
 * nodes. It grants a trial if by its own evidence they may be tried and no other trial of them is
 * running.
 */
import * as z from 'zod';
import { EvictingMap, requestPartSchema, ServingError, type RequestPart } from '../../core';
import { CRASH_EVIDENCE_OPTIONS, getHarmfulKey, pickByRendezvous } from '../../decisions';
import type { Kernel } from '../../kernel';
import { Members, PeerHandler, Peers, Quarantine, type Peer } from '../../services';
import { QUARANTINE_OPTIONS } from './options';

const MESSAGE_TYPE = 'quarantine.trial';

const { maxPartsPerSuspect } = CRASH_EVIDENCE_OPTIONS;

const requestSchema = z
  .object({
    /** Identifies the parts that are quarantined together. */
    key: z.string(),
    /** Those of them that the request has. */
    tried: z.array(requestPartSchema).min(1).max(maxPartsPerSuspect).readonly(),
  })
  .readonly();
type TrialRequest = z.infer<typeof requestSchema>;

const replySchema = z.object({ isGranted: z.boolean() }).readonly();

/** @internal */
export class TrialGrants {
  /** By key. */
  private readonly grantedAtMs = new EvictingMap<string, number>(QUARANTINE_OPTIONS.maxTrials);

  constructor(private readonly kernel: Kernel) {}

  /** Asks the node in charge; an unreachable one grants nothing. */
  async take(key: string, tried: ReadonlyArray<RequestPart>): Promise<boolean> {
    const { clock, log, settings } = this.kernel;
    const nodes = [
      settings.vmId,
      ...this.kernel
        .get(Members)
        .listLive()
        .map(({ vmId }) => vmId),
    ];
    const inCharge = pickByRendezvous(`trial ${key}`, nodes);
    if (inCharge === undefined || inCharge === settings.vmId) return this.grant({ key, tried });
    try {
      const deadlineMs = clock.nowMs() + QUARANTINE_OPTIONS.trialCallTimeoutMs;
      const request: TrialRequest = { key, tried };
      const reply = await this.kernel.get(Peers).call(inCharge, MESSAGE_TYPE, request, deadlineMs);
      return replySchema.parse(reply).isGranted;
    } catch (thrown) {
      log.info('trial not granted', { tried, member: inCharge, cause: ServingError.from(thrown) });
      return false;
    }
  }

  /** Grants a trial as the node in charge. */
  grant({ key, tried }: TrialRequest): boolean {
    const nowMs = this.kernel.clock.nowMs();
    const { trialTimeoutMs } = QUARANTINE_OPTIONS;
    const lastMs = this.grantedAtMs.get(key) ?? -Infinity;
    const verdict = this.kernel.get(Quarantine).check(tried);
    const isDue = verdict.outcome === 'trial' && getHarmfulKey(verdict.harmful) === key;
    if (!isDue || nowMs - lastMs < trialTimeoutMs) return false;
    this.grantedAtMs.setNewest(key, nowMs);
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

  async handle(_from: Peer, request: TrialRequest): Promise<unknown> {
    return { isGranted: this.trials.grant(request) };
  }
}
