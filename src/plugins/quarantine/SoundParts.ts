/**
 * When the newest sound request with a part began, for the parts used most recently.
 */
import type { RequestPart } from '../../core';
import { QUARANTINE_OPTIONS } from './options';

/** @internal */
export class SoundParts {
  /** Least recently recorded first. */
  private readonly beganAtMs = new Map<RequestPart, number>();

  record(part: RequestPart, beganAtMs: number): void {
    const newestMs = Math.max(beganAtMs, this.beganAtMs.get(part) ?? -Infinity);
    this.beganAtMs.delete(part);
    this.beganAtMs.set(part, newestMs);
    if (this.beganAtMs.size <= QUARANTINE_OPTIONS.maxSoundParts) return;
    const [oldest] = this.beganAtMs.keys();
    if (oldest !== undefined) this.beganAtMs.delete(oldest);
  }

  find(part: RequestPart): number | undefined {
    return this.beganAtMs.get(part);
  }
}
