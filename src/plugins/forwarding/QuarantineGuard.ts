/**
 * Keeps requests with quarantined parts from endpoints: when they arrive, and before each time they
 * are sent, as a part may have been quarantined meanwhile.
 */
import { ServingError, type PromptPartId } from '../../core';
import type { Kernel } from '../../kernel';
import { Quarantine, type QuarantineVerdict } from '../../services';
import type { AdmittedRequest } from './AdmittedRequest';
import { FORWARDING_OPTIONS } from './options';

type Refusal = Extract<QuarantineVerdict, { readonly outcome: 'refuse' }>;

/** @internal */
export class QuarantineGuard {
  constructor(private readonly kernel: Kernel) {}

  /**
   * Returns whether the request is the trial of a quarantined part.
   * @throws ServingError `prompt-quarantined`.
   */
  async admit(parts: ReadonlyArray<PromptPartId>, clause: string): Promise<boolean> {
    const quarantine = this.kernel.get(Quarantine);
    const verdict = quarantine.check(parts);
    if (verdict.outcome === 'admit') return false;
    if (verdict.outcome === 'refuse') throw this.createError(verdict, clause);
    if (await quarantine.takeTrial(verdict.part)) return true;
    throw new ServingError('prompt-quarantined', {
      detail: `Another request with the quarantined part ${verdict.part} is being tried.`,
      clause,
      retryAfterMs: FORWARDING_OPTIONS.trialRetryAfterMs,
    });
  }

  /** Returns why the request must not be sent to an endpoint, or to another one. */
  findRefusal(admitted: AdmittedRequest): ServingError | undefined {
    if (admitted.isTrial) return this.findTrialRefusal(admitted);
    const { clause, crashesAtStart } = admitted;
    const verdict = this.kernel.get(Quarantine).check(admitted.request.sharedPromptParts);
    if (verdict.outcome === 'refuse') return this.createError(verdict, clause);
    if (verdict.outcome === 'trial') {
      return new ServingError('prompt-quarantined', {
        detail: `The part ${verdict.part} of the prompt is quarantined.`,
        clause,
        retryAfterMs: FORWARDING_OPTIONS.trialRetryAfterMs,
      });
    }
    if (crashesAtStart < FORWARDING_OPTIONS.maxCrashesAtStart) return undefined;
    return new ServingError('answer-lost', {
      detail: `${crashesAtStart} endpoints crashed as they began to answer this request.`,
      clause,
    });
  }

  private findTrialRefusal({ sentTo, clause }: AdmittedRequest): ServingError | undefined {
    if (sentTo.length === 0) return undefined;
    return new ServingError('answer-lost', {
      detail: 'The request was the trial of a quarantined part; it is not sent again.',
      clause,
    });
  }

  private createError({ part, crashes, retryAfterMs }: Refusal, clause: string): ServingError {
    return new ServingError('prompt-quarantined', {
      detail: `${crashes} endpoints crashed under the part ${part} of the prompt.`,
      clause,
      retryAfterMs: Math.ceil(retryAfterMs),
    });
  }
}
