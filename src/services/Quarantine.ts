/**
 * Quarantine of requests, and of parts of prompts, that crash endpoints.
 */
import type { RequestFingerprint, RequestPart } from '../core';
import type { CrashSuspect, HarmfulParts, QuarantineVerdict } from '../decisions';

/** @public */
export abstract class Quarantine {
  /** Decides by the parts of a request; those of sound requests are admitted. */
  abstract check(parts: ReadonlyArray<RequestPart>): QuarantineVerdict;

  /**
   * Returns whether a request with these parts is the one that may be tried because of quarantined
   * ones; at most one in the fleet is.
   */
  abstract takeTrial(parts: ReadonlyArray<RequestPart>, harmful: HarmfulParts): Promise<boolean>;

  /**
   * Records a request that a crash ended at its beginning.
   * @param crashId the endpoint and its start, the same at every node.
   * @param resent the request, if another endpoint had crashed under the same attempt before.
   */
  abstract recordCrash(crashId: string, lost: CrashSuspect, resent?: RequestFingerprint): void;

  /** Records that a request began well, at a monotonic time. */
  abstract recordSound(parts: ReadonlyArray<RequestPart>, beganAtMs: number): void;
}
