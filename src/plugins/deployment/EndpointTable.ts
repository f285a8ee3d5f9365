/**
 * The known endpoints, each with the entry that was published for it and with the position of the
 * newest known change, which may be the removal of the entry.
 *
 * An endpoint that is leaving stays in the table for a while, because requests may still be running
 * on it. What is learned of an endpoint is forgotten with it.
 */
import {
  isEarlier,
  NO_POSITION,
  type BackEnd,
  type EndpointId,
  type SourcePosition,
} from '../../core';
import type { KnownBackEnd, PublishedValue } from '../../services';
import { LearnedWarmUps } from './LearnedWarmUps';
import { DEPLOYMENT_OPTIONS } from './options';

/** @internal */
export class EndpointTable {
  private readonly endpoints = new Map<EndpointId, KnownBackEnd>();

  /** The endpoints as they were published, for relaying to other nodes. */
  private readonly values = new Map<EndpointId, PublishedValue>();

  private readonly positions = new Map<EndpointId, SourcePosition>();

  private readonly learnedWarmUps = new LearnedWarmUps();

  get size(): number {
    return this.endpoints.size;
  }

  list(): ReadonlyArray<KnownBackEnd> {
    return [...this.endpoints.values()];
  }

  find(endpointId: EndpointId): KnownBackEnd | undefined {
    return this.endpoints.get(endpointId);
  }

  /** Returns the position of the newest known change of the endpoint. */
  getPosition(endpointId: EndpointId): SourcePosition {
    return this.positions.get(endpointId) ?? NO_POSITION;
  }

  getValue(endpointId: EndpointId): PublishedValue | undefined {
    return this.values.get(endpointId);
  }

  /** Returns the time until which a process is cold, by its entry and by its own answers. */
  getWarmUpUntilMs(backEnd: BackEnd, nowMs: number): number {
    return Math.max(nowMs + backEnd.warmUpMs, this.learnedWarmUps.getUntilMs(backEnd));
  }

  /** Takes over a published entry. */
  set(known: KnownBackEnd, value: PublishedValue): void {
    this.endpoints.set(known.endpointId, known);
    this.values.set(known.endpointId, value);
    this.positions.set(known.endpointId, value.position);
  }

  /** Returns the endpoint, which is leaving since the given time. */
  setLeaving(known: KnownBackEnd, leavingSinceMs: number): KnownBackEnd {
    const leaving = { ...known, leavingSinceMs };
    this.endpoints.set(known.endpointId, leaving);
    return leaving;
  }

  setPosition(endpointId: EndpointId, position: SourcePosition): void {
    this.positions.set(endpointId, position);
  }

  /** Returns the known endpoint, unless a later change of it is known. */
  raisePosition(endpointId: EndpointId, position: SourcePosition): KnownBackEnd | undefined {
    const known = this.endpoints.get(endpointId);
    if (!known || isEarlier(position, this.getPosition(endpointId))) return undefined;
    this.positions.set(endpointId, position);
    return known;
  }

  /** Records until when a process is cold by its own answer. */
  extendWarmUp(backEnd: BackEnd, untilMs: number): void {
    const { endpointId, startedAtWallMs } = backEnd;
    const known = this.endpoints.get(endpointId);
    if (!known) return;
    this.learnedWarmUps.record(backEnd, untilMs);
    if (known.startedAtWallMs !== startedAtWallMs || known.warmUpUntilMs >= untilMs) return;
    this.endpoints.set(endpointId, { ...known, warmUpUntilMs: untilMs });
  }

  /** Forgets the endpoints that departed longer ago than they are kept for the requests on them. */
  evictDeparted(nowMs: number): void {
    const { departedRetentionMs } = DEPLOYMENT_OPTIONS;
    this.list()
      .filter(({ leavingSinceMs = Infinity }) => nowMs - leavingSinceMs > departedRetentionMs)
      .forEach(({ endpointId }) => {
        this.endpoints.delete(endpointId);
        this.learnedWarmUps.forget(endpointId);
        this.values.delete(endpointId);
        this.positions.delete(endpointId);
      });
  }
}
