/**
 * Up to when this node knows everything that was published, and up to when it could read the newest
 * configuration.
 *
 * The two differ while the newest version of the configuration can't be read: the node goes on
 * following the source, but the version in force may be out of date since the last confirmation
 * before.
 */
import { chooseLater, isEarlier, NO_POSITION, type Clock, type SourcePosition } from '../../core';
import { computeConfirmedAgeMs, type ClockReading, type Confirmation } from '../../decisions';
import { DEPLOYMENT_OPTIONS } from './options';

function chooseNewer(
  before: Confirmation | undefined,
  asOfMs: number,
  sentAt: ClockReading,
): Confirmation | undefined {
  return asOfMs > (before?.asOfMs ?? -Infinity) ? { asOfMs, ...sentAt } : before;
}

/** @internal */
export class Confirmations {
  private source: Confirmation | undefined;

  private configuration: Confirmation | undefined;

  /** Position of the newest configuration that could be read. */
  private readableAt: SourcePosition = NO_POSITION;

  /** Position of a newer one that couldn't. */
  private unreadableAt: SourcePosition | undefined;

  constructor(private readonly clock: Clock) {}

  readClocks(): ClockReading {
    return { nowMs: this.clock.nowMs(), wallMs: this.clock.wallMs() };
  }

  /** Returns the time since everything that was published was known. */
  getSourceAgeMs(): number {
    return this.getAgeMs(this.source);
  }

  /** Returns the time since the configuration in force was known to be current. */
  getConfigurationAgeMs(): number {
    return this.getAgeMs(this.configuration);
  }

  /**
   * Takes over a later confirmation.
   * @param sentAt clock readings from before the call that confirmed it.
   * @param configurationAsOfMs undefined if nothing is said of the configuration.
   */
  confirm(asOfMs: number, sentAt: ClockReading, configurationAsOfMs: number | undefined): void {
    this.source = chooseNewer(this.source, asOfMs, sentAt);
    if (configurationAsOfMs === undefined || this.unreadableAt) return;
    this.configuration = chooseNewer(this.configuration, configurationAsOfMs, sentAt);
  }

  markReadable(position: SourcePosition): void {
    this.readableAt = chooseLater(this.readableAt, position);
    if (this.unreadableAt && !isEarlier(position, this.unreadableAt)) this.unreadableAt = undefined;
  }

  /** Returns whether the newest configuration is found to be unreadable. */
  markUnreadable(position: SourcePosition): boolean {
    if (!isEarlier(this.unreadableAt ?? this.readableAt, position)) return false;
    this.unreadableAt = position;
    return true;
  }

  /** Forgets the confirmations if the machine was suspended since; returns whether it did. */
  clearAfterSuspension(): boolean {
    if (!this.source || Number.isFinite(this.getSourceAgeMs())) return false;
    this.source = undefined;
    this.configuration = undefined;
    return true;
  }

  private getAgeMs(confirmation: Confirmation | undefined): number {
    const { maxWallLeadMs } = DEPLOYMENT_OPTIONS;
    return computeConfirmedAgeMs(confirmation, this.readClocks(), maxWallLeadMs);
  }
}
