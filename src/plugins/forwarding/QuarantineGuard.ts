/**
 * Keeps quarantined requests from endpoints: when they arrive, and before each time they are sent, as
 * they may have been quarantined meanwhile.
 */
import { isFingerprint, ServingError, type ErrorKind, type RequestPart } from '../../core';
import type { HarmfulParts, QuarantineVerdict } from '../../decisions';
import type { Kernel } from '../../kernel';
import { Quarantine } from '../../services';
import type { AdmittedRequest } from './AdmittedRequest';
import { FORWARDING_OPTIONS } from './options';

type Refusal = Extract<QuarantineVerdict, { readonly outcome: 'refuse' }>;

/** Describes in a sentence what is quarantined: a request, or parts of prompts, one or several. */
function describeParts({ parts }: HarmfulParts): string {
  if (parts.some(isFingerprint)) return 'this request';
  const names = parts.join(', ');
  return parts.length === 1
    ? `the part ${names} of the prompt`
    : `the parts ${names} of the prompt together`;
}

function getErrorKind({ parts }: HarmfulParts): ErrorKind {
  return parts.some(isFingerprint) ? 'request-quarantined' : 'prompt-quarantined';
}

/** @internal */
export class QuarantineGuard {
  constructor(private readonly kernel: Kernel) {}

  /**
   * Returns whether the request is the trial of itself or of a quarantined part.
   * @throws ServingError `request-quarantined`, `prompt-quarantined`.
   */
  async admit(parts: ReadonlyArray<RequestPart>, clause: string): Promise<boolean> {
    const quarantine = this.kernel.get(Quarantine);
    const verdict = quarantine.check(parts);
    if (verdict.outcome === 'admit') return false;
    if (verdict.outcome === 'refuse') throw this.createError(verdict, clause);
    const { harmful } = verdict;
    if (await quarantine.takeTrial(parts, harmful)) return true;
    throw new ServingError(getErrorKind(harmful), {
      detail: `Another attempt is being tried for ${describeParts(harmful)}.`,
      clause,
      retryAfterMs: FORWARDING_OPTIONS.trialRetryAfterMs,
    });
  }

  /** Returns why the request must not be sent to an endpoint, or to another one. */
  findRefusal(admitted: AdmittedRequest): ServingError | undefined {
    if (admitted.isTrial) return this.findTrialRefusal(admitted);
    const { clause, crashesAtStart } = admitted;
    const verdict = this.kernel.get(Quarantine).check(admitted.parts);
    if (verdict.outcome === 'refuse') return this.createError(verdict, clause);
    if (verdict.outcome === 'trial') {
      return new ServingError(getErrorKind(verdict.harmful), {
        detail: `Endpoints crashed under ${describeParts(verdict.harmful)}.`,
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

  /** Returns why a run that still has its engine must not be moved to another one, which it could crash. */
  findMoveRefusal(admitted: AdmittedRequest, outputTokens: number): string | undefined {
    const refusal = this.findRefusal(admitted);
    if (refusal) return refusal.detail;
    const mayMove = this.hasShownOutput(admitted, outputTokens);
    return mayMove ? undefined : 'an endpoint crashed under it before';
  }

  /** False for a request under which an endpoint has crashed, until it has output elsewhere. */
  hasShownOutput({ crashesAtStart }: AdmittedRequest, outputTokens: number): boolean {
    return crashesAtStart === 0 || outputTokens > 0;
  }

  private findTrialRefusal({ sentTo, clause }: AdmittedRequest): ServingError | undefined {
    if (sentTo.length === 0) return undefined;
    return new ServingError('answer-lost', {
      detail: 'The request was tried in spite of a quarantine; it is not sent again.',
      clause,
    });
  }

  private createError({ harmful, retryAfterMs }: Refusal, clause: string): ServingError {
    return new ServingError(getErrorKind(harmful), {
      detail: `${harmful.crashes} endpoints crashed under ${describeParts(harmful)}.`,
      clause,
      retryAfterMs: Math.ceil(retryAfterMs),
    });
  }
}
