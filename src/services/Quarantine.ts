/**
 * Quarantine of parts of prompts that crash endpoints.
 */
import type { PromptPartId } from '../core';
import type { CrashSuspect } from '../decisions';

/** @public */
export type QuarantineVerdict =
  | { readonly outcome: 'admit' }
  /** The part was held long enough; one request in the fleet may be tried. */
  | { readonly outcome: 'trial'; readonly part: PromptPartId }
  | {
      readonly outcome: 'refuse';
      readonly part: PromptPartId;
      readonly crashes: number;
      readonly retryAfterMs: number;
    };

/** @public */
export abstract class Quarantine {
  /** Decides by the shared parts of a request's prompt; parts of sound requests are admitted. */
  abstract check(parts: ReadonlyArray<PromptPartId>): QuarantineVerdict;

  /** Returns whether this request is the one that may be tried; at most one in the fleet is. */
  abstract takeTrial(part: PromptPartId): Promise<boolean>;

  /**
   * Records a request that a crash ended at its beginning.
   * @param crashId the endpoint and its start, the same at every node.
   */
  abstract recordCrash(crashId: string, lost: CrashSuspect): void;

  /** Records that a request began well, at a monotonic time. */
  abstract recordSound(parts: ReadonlyArray<PromptPartId>, beganAtMs: number): void;
}
