/**
 * How far this node has followed the source of the configuration and of the endpoint list: the
 * position up to which it knows every change, the newest era, and whether the last call succeeded.
 *
 * Confirmations count for the position; a position that another node has heard of only raises the era.
 */
import { chooseLater, NO_POSITION, type SourcePosition } from '../../core';
import type { Kernel } from '../../kernel';
import { Confirmations } from './Confirmations';
import { DEPLOYMENT_OPTIONS } from './options';

/** @internal */
export class FollowedSource {
  readonly confirmations: Confirmations;

  private latestComplete: SourcePosition = NO_POSITION;

  private highestEra = 0;

  private gapCount = 0;

  private eraBeganAtMs = -Infinity;

  private historyLostAtMs = -Infinity;

  private unavailableReason: string | undefined;

  constructor(private readonly kernel: Kernel) {
    this.confirmations = new Confirmations(kernel.clock);
  }

  /** Whether the last call to the source failed. */
  get isUnavailable(): boolean {
    return this.unavailableReason !== undefined;
  }

  /** Position up to which this node knows every change. */
  get completeTo(): SourcePosition {
    return this.latestComplete;
  }

  /** Highest era of the source that this node has heard of, from the source or another node. */
  get newestEra(): number {
    return this.highestEra;
  }

  /** Whether the source has come back from an older copy since this node read from it. */
  get isEraOver(): boolean {
    return this.highestEra > this.latestComplete.era;
  }

  markCompleteTo(position: SourcePosition): void {
    this.latestComplete = chooseLater(this.latestComplete, position);
  }

  /** Returns whether the era is newer than every one that was heard of. */
  hearOfEra(era: number): boolean {
    if (era <= this.highestEra) return false;
    this.highestEra = era;
    return true;
  }

  /** How many times changes may have been missed. */
  get gaps(): number {
    return this.gapCount;
  }

  /** Whether endpoints that live have had the time to write the entries again that an era has lost. */
  get isEraSettled(): boolean {
    return this.kernel.clock.nowMs() - this.eraBeganAtMs >= DEPLOYMENT_OPTIONS.expiredEntryGraceMs;
  }

  noteGap(): void {
    this.gapCount += 1;
  }

  noteHistoryLost(): void {
    this.historyLostAtMs = this.kernel.clock.nowMs();
    this.noteGap();
  }

  getHistoryLostAgeMs(): number {
    return this.kernel.clock.nowMs() - this.historyLostAtMs;
  }

  /** Nothing of the newest era is known yet. */
  beginEra(era: number): void {
    if (this.latestComplete.revision > 0) this.eraBeganAtMs = this.kernel.clock.nowMs();
    this.latestComplete = { era, revision: 0 };
    this.noteGap();
  }

  markUnavailable(reason: string): void {
    if (this.unavailableReason === undefined) {
      const confirmedAgeMs = Math.round(this.confirmations.getConfigurationAgeMs());
      const { era, revision } = this.latestComplete;
      this.kernel.log.warn('source lost', { reason, confirmedAgeMs, era, revision });
    }
    this.unavailableReason = reason;
  }

  /** Returns whether the source was unavailable until now. */
  markAvailable(): boolean {
    if (this.unavailableReason === undefined) return false;
    const { era, revision } = this.latestComplete;
    const reason = this.unavailableReason;
    this.kernel.log.info('source regained', { reason, era, revision });
    this.unavailableReason = undefined;
    return true;
  }
}
