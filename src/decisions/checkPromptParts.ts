/**
 * Decides by the quarantined parts whether a request may be sent to an endpoint.
 */
import type { RequestPart } from '../core';
import { HARM_OPTIONS, type HarmfulParts } from './findHarmfulParts';

/** @public */
export type QuarantineVerdict =
  | { readonly outcome: 'admit' }
  /** One request in the fleet may be tried at a time. */
  | { readonly outcome: 'trial'; readonly harmful: HarmfulParts }
  | {
      readonly outcome: 'refuse';
      readonly harmful: HarmfulParts;
      readonly retryAfterMs: number;
    };

const ADMIT: QuarantineVerdict = { outcome: 'admit' };

/**
 * Decides for one quarantined group. A request with some of its parts only is sent freely while the
 * crashes are few, and then as a trial, so that a wrong guess costs one more crash.
 */
function checkOne(
  harmful: HarmfulParts,
  parts: ReadonlyArray<RequestPart>,
  nowMs: number,
): QuarantineVerdict {
  const held = harmful.parts.filter((part) => parts.includes(part)).length;
  if (held === 0) return ADMIT;
  if (held < harmful.parts.length) {
    const isTrial = harmful.crashes >= HARM_OPTIONS.singleTrialsFromCrashes;
    return isTrial ? { outcome: 'trial', harmful } : ADMIT;
  }
  const retryAfterMs = harmful.retryAtMs - nowMs;
  return retryAfterMs > 0
    ? { outcome: 'refuse', harmful, retryAfterMs }
    : { outcome: 'trial', harmful };
}

/** @param nowMs monotonic time. */
export function checkPromptParts(
  quarantined: ReadonlyArray<HarmfulParts>,
  parts: ReadonlyArray<RequestPart>,
  nowMs: number,
): QuarantineVerdict {
  const verdicts = quarantined.map((harmful) => checkOne(harmful, parts, nowMs));
  const refusals = verdicts.filter((verdict) => verdict.outcome === 'refuse');
  const [longest] = refusals.sort((a, b) => b.retryAfterMs - a.retryAfterMs);
  return longest ?? verdicts.find(({ outcome }) => outcome === 'trial') ?? ADMIT;
}
