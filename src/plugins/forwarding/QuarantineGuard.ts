/**
 * Keeps requests with quarantined parts from endpoints: when they arrive, and before each time they
 * are sent, as a part may have been quarantined meanwhile.
 */
import { ServingError, type PromptPartId } from '../../core';
import type { HarmfulParts, QuarantineVerdict } from '../../decisions';
import type { Kernel } from '../../kernel';
import { Quarantine } from '../../services';
import type { AdmittedRequest } from './AdmittedRequest';
import { FORWARDING_OPTIONS } from './options';

type Refusal = Extract<QuarantineVerdict, { readonly outcome: 'refuse' }>;

/** Names quarantined parts, which may be one or several, in a sentence. */
function describeParts({ parts }: HarmfulParts): string {
  const names = parts.join(', ');
  return parts.length === 1 ? `the part ${names}` : `the parts ${names} together`;
}

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
    const { harmful } = verdict;
    if (await quarantine.takeTrial(parts, harmful)) return true;
    throw new ServingError('prompt-quarantined', {
      detail: `Another request is being tried for ${describeParts(harmful)} of the prompt.`,
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
        detail: `Endpoints crashed under ${describeParts(verdict.harmful)} of the prompt.`,
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

  private createError({ harmful, retryAfterMs }: Refusal, clause: string): ServingError {
    return new ServingError('prompt-quarantined', {
      detail: `${harmful.crashes} endpoints crashed under ${describeParts(harmful)} of the prompt.`,
      clause,
      retryAfterMs: Math.ceil(retryAfterMs),
    });
  }
}
