/**
 * Quarantine of parts of prompts that crash endpoints.
 */
import type { PromptPartId } from '../core';
import type { CrashSuspect, HarmfulParts, QuarantineVerdict } from '../decisions';

/** @public */
export abstract class Quarantine {
  /** Decides by the shared parts of a request's prompt; parts of sound requests are admitted. */
  abstract check(parts: ReadonlyArray<PromptPartId>): QuarantineVerdict;

  /**
   * Returns whether a request with these parts is the one that may be tried because of quarantined
   * ones; at most one in the fleet is.
   */
  abstract takeTrial(parts: ReadonlyArray<PromptPartId>, harmful: HarmfulParts): Promise<boolean>;

  /**
   * Records a request that a crash ended at its beginning.
   * @param crashId the endpoint and its start, the same at every node.
   */
  abstract recordCrash(crashId: string, lost: CrashSuspect): void;

  /** Records that a request began well, at a monotonic time. */
  abstract recordSound(parts: ReadonlyArray<PromptPartId>, beganAtMs: number): void;
}
