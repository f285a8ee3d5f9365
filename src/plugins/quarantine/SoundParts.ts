/**
 * When the newest sound request with a part began, for the parts used most recently.
 */
import { EvictingMap, type RequestPart } from '../../core';
import { QUARANTINE_OPTIONS } from './options';

/** @internal */
export class SoundParts {
  /** Least recently recorded first. */
  private readonly beganAtMs = new EvictingMap<RequestPart, number>(
    QUARANTINE_OPTIONS.maxSoundParts,
  );

  record(part: RequestPart, beganAtMs: number): void {
    const newestMs = Math.max(beganAtMs, this.beganAtMs.get(part) ?? -Infinity);
    this.beganAtMs.setNewest(part, newestMs);
  }

  find(part: RequestPart): number | undefined {
    return this.beganAtMs.get(part);
  }
}
